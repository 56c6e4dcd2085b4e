package plantainturn.relay.http

/** Holds an answer of an [InternalHttpServer]. */
public class InternalHttpResponse(
    public val status: Int,
    public val body: ByteArray = ByteArray(0),
    public val contentType: String = "application/json",
)
