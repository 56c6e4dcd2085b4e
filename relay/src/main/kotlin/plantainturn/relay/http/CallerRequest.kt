package plantainturn.relay.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import plantainturn.process.time.Moment

/**
 * One whole request of a caller.
 *
 * @property head the request line and headers as they came
 * @property body the body without its framing; whoever handles the request releases it
 * @property receivedAt when the head had arrived
 */
public class CallerRequest(
    public val head: HttpRequest,
    public val body: ByteBuf,
    public val receivedAt: Moment,
)
