package plantainturn.relay.http

import io.netty.handler.codec.http.HttpHeaders

/** What came of a call. */
public sealed interface HttpCallResult {
    /** There was a whole answer. */
    public class Answered(
        public val status: Int,
        public val headers: HttpHeaders,
        public val body: ByteArray,
    ) : HttpCallResult

    /** Nothing was sent. */
    public data class NotSent(
        val reason: String,
    ) : HttpCallResult

    /** There was no whole answer; what was asked for may have been done. */
    public data class NoAnswer(
        val reason: String,
    ) : HttpCallResult
}
