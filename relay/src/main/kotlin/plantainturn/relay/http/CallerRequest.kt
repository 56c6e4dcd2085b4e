package plantainturn.relay.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import plantainturn.process.time.Moment

/**
 * Holds a completely received request of a caller.
 *
 * @property head the request line and headers as received
 * @property body the body without its framing; the handler of the request must release it
 * @property receivedAt when the request arrived; on an overloaded node, the earliest moment at which it may have
 */
public class CallerRequest(
    public val head: HttpRequest,
    public val body: ByteBuf,
    public val receivedAt: Moment,
)
