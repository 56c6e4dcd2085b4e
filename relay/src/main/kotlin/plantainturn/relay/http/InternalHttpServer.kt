package plantainturn.relay.http

import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpVersion
import org.apache.logging.log4j.LogManager
import plantainturn.connection.http.HeldBytes
import plantainturn.connection.roster.SocketLocation
import plantainturn.process.time.ExecutorTimerService
import plantainturn.process.time.TimerService
import plantainturn.relay.loop.LoopPolls
import plantainturn.version.route.CallerLimits
import kotlin.time.Duration.Companion.seconds

/**
 * Serves internal requests with small bodies: readiness probes of the load balancer, peers, metrics and dumps.
 *
 * @param held counts what the connections hold in memory
 * @param polls when the loop polls the network
 */
public class InternalHttpServer(
    loop: EventLoop,
    timer: TimerService = ExecutorTimerService(loop),
    held: HeldBytes = HeldBytes(),
    polls: LoopPolls = LoopPolls(),
) {
    private val logger = LogManager.getLogger(InternalHttpServer::class.java)
    private val handlers = HashMap<String, (ByteArray, (InternalHttpResponse) -> Unit) -> Unit>()
    private val server = CallerServer(loop, timer, Handler(), held, VERSIONS, polls) { LIMITS }
    private var marked: Pair<String, CallerHandler>? = null

    /** Registers [handler] for requests whose method and path are [call], such as `GET /metrics`. */
    public fun on(
        call: String,
        handler: (ByteArray, (InternalHttpResponse) -> Unit) -> Unit,
    ) {
        handlers[call] = handler
    }

    /** Passes requests that carry the header [name] to [handler]. */
    internal fun onMarked(
        name: String,
        handler: CallerHandler,
    ) {
        marked = name to handler
    }

    /** Listens at [location] and calls [done] with null on success or with the failure. */
    public fun listen(
        location: SocketLocation,
        done: (Throwable?) -> Unit,
    ): Unit = server.listen(location, done)

    /** Stops accepting new connections. */
    public fun stopListening(): Unit = server.stopListening()

    private inner class Handler : CallerHandler {
        override fun handle(
            request: CallerRequest,
            reply: CallerReply,
        ): CallerConnectionListener {
            marked?.let { (name, marked) ->
                if (request.head.headers().contains(name)) return marked.handle(request, reply)
            }
            val call = "${request.head.method()} ${request.head.uri().substringBefore('?')}"
            val body = ByteArray(request.body.readableBytes()).also { request.body.readBytes(it) }
            request.body.release()
            val handler = handlers[call] ?: { _, done -> done(InternalHttpResponse(NOT_FOUND)) }
            handler(body) { answer ->
                val headers = DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType)
                reply.send(answer.status, headers, Unpooled.wrappedBuffer(answer.body))
            }
            return IgnoringListener
        }

        override fun onAlreadyDisconnected(request: CallerRequest) {
            request.body.release()
        }

        override fun onUnreadable(
            reply: CallerReply,
            status: Int,
            reason: String,
        ) {
            logger.info("event=internal-request-unreadable status={} reason=\"{}\"", status, reason)
            reply.send(status, DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER)
        }
    }

    private object IgnoringListener : CallerConnectionListener {
        override fun onCallerDisconnected() = Unit

        override fun onWritabilityChanged(writable: Boolean) = Unit
    }

    private companion object {
        const val NOT_FOUND = 404

        /** Balancers may probe with the older version. */
        val VERSIONS = setOf(HttpVersion.HTTP_1_1, HttpVersion.HTTP_1_0)

        /**
         * The largest body is larger than the largest exchange between peers in a system of hundreds of nodes. Peers
         * keep connections idle for up to 20 s.
         */
        val LIMITS =
            CallerLimits(
                headerBytes = 16_384,
                bodyBytes = 1_048_576,
                headerTimeout = 10.seconds,
                idleTimeout = 60.seconds,
            )
    }
}
