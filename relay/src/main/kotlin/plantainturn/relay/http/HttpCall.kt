package plantainturn.relay.http

import io.netty.handler.codec.http.HttpMethod

/**
 * Describes an HTTP request to be sent by [HttpClient].
 *
 * @property target path and query, sent without further encoding
 * @property body the request body, empty if there is none
 * @property maximumAnswerBytes the size of the answer's body from which on it is given up
 */
public class HttpCall(
    public val method: HttpMethod,
    public val target: String,
    public val body: ByteArray = ByteArray(0),
    public val headers: Map<String, String> = emptyMap(),
    public val maximumAnswerBytes: Int = DEFAULT_MAXIMUM_ANSWER_BYTES,
) {
    private companion object {
        /** Several times the size of the store's largest page and of the issuer's largest report. */
        const val DEFAULT_MAXIMUM_ANSWER_BYTES = 4_194_304
    }
}
