package plantainturn.relay.http

import io.netty.handler.codec.http.HttpMethod

/**
 * A call to make.
 *
 * @property target path and query, sent as they are
 * @property body empty for none
 */
public class HttpCall(
    public val method: HttpMethod,
    public val target: String,
    public val body: ByteArray = ByteArray(0),
    public val headers: Map<String, String> = emptyMap(),
)
