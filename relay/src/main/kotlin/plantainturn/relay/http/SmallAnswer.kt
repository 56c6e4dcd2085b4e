package plantainturn.relay.http

/** The answer of a [SmallServer]. */
public class SmallAnswer(
    public val status: Int,
    public val body: ByteArray = ByteArray(0),
    public val contentType: String = "application/json",
)
