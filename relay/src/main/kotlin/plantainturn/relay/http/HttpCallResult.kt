package plantainturn.relay.http

import io.netty.handler.codec.http.HttpHeaders

/** Result of an [HttpCall]. */
public sealed interface HttpCallResult {
    /** A complete answer was received. */
    public class Answered(
        public val status: Int,
        public val headers: HttpHeaders,
        public val body: ByteArray,
    ) : HttpCallResult

    /** The request was not sent. */
    public data class NotSent(
        val reason: String,
    ) : HttpCallResult

    /** The request was sent, but no complete answer was received. The server may have executed it. */
    public data class NoAnswer(
        val reason: String,
    ) : HttpCallResult
}
