package plantainturn.relay.http

/** The answer of a [InternalHttpServer]. */
public class InternalHttpResponse(
    public val status: Int,
    public val body: ByteArray = ByteArray(0),
    public val contentType: String = "application/json",
)
