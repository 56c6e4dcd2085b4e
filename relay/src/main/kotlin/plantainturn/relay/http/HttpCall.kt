package plantainturn.relay.http

import io.netty.handler.codec.http.HttpMethod

/**
 * Describes an HTTP request to be sent by [HttpClient].
 *
 * @property target path and query, sent without further encoding
 * @property body the request body, empty if there is none
 */
public class HttpCall(
    public val method: HttpMethod,
    public val target: String,
    public val body: ByteArray = ByteArray(0),
    public val headers: Map<String, String> = emptyMap(),
)
