package plantainturn.relay.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import plantainturn.connection.http.HeldBytes
import plantainturn.connection.roster.SocketLocation
import plantainturn.process.time.TimerService
import plantainturn.process.time.TimerSubscription
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sends requests to the store, to the control interfaces of engines and to peers.
 *
 * Calls do not block. The callback of each call runs exactly once, on the event loop.
 *
 * @param held bounds the memory of incomplete answers
 */
public class HttpClient(
    private val loop: EventLoop,
    private val timer: TimerService,
    private val held: HeldBytes = HeldBytes(),
) {
    private val pools = HashMap<SocketLocation, ConnectionPool>()

    /** Sends [call] to [location] and passes the result to [done], at the latest shortly after [timeout]. */
    public fun call(
        location: SocketLocation,
        call: HttpCall,
        timeout: Duration,
        done: (HttpCallResult) -> Unit,
    ) {
        val request =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                call.method,
                call.target,
                Unpooled.wrappedBuffer(call.body),
            ).apply {
                headers().set(HttpHeaderNames.HOST, location.toString())
                if (call.body.isNotEmpty() || call.method == HttpMethod.POST) {
                    headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body.size)
                }
                call.headers.forEach { (name, value) -> headers().set(name, value) }
            }
        Call(request, call.maximumAnswerBytes, done).begin(location, timeout)
    }

    private inner class Call(
        private val request: DefaultFullHttpRequest,
        private val maximumBytes: Int,
        private val done: (HttpCallResult) -> Unit,
    ) : AnswerReceiver {
        private var connection: UpstreamConnection? = null
        private var ended = false
        private var timeoutTimer: TimerSubscription? = null
        private var head: HttpResponse? = null
        private val body = ByteArrayOutputStream()

        override val heldBytes: Long
            get() = body.size() * COPIES

        fun begin(
            location: SocketLocation,
            timeout: Duration,
        ) {
            timeoutTimer = timer.schedule(timeout) { timeoutTimer = timer.schedule(NEXT_ITERATION) { timeOut() } }
            pools
                .getOrPut(location) { ConnectionPool(loop, location, timer, held) }
                .acquire(MAXIMUM_IDLE) { result ->
                    when (result) {
                        is ConnectionResult.Failed -> {
                            request.release()
                            end(HttpCallResult.NotSent(result.reason))
                        }
                        is ConnectionResult.Ready -> start(result.connection)
                    }
                }
        }

        private fun start(ready: UpstreamConnection) {
            if (ended) {
                request.release()
                ready.abandon()
                return
            }
            connection = ready
            ready.send(request, this)
        }

        private fun timeOut() {
            if (ended) return
            val sent = connection
            sent?.abandon()
            end(
                if (sent ==
                    null
                ) {
                    HttpCallResult.NotSent("no connection before the timeout")
                } else {
                    HttpCallResult.NoAnswer("no answer before the timeout")
                },
            )
        }

        override fun ownershipOf(
            head: HttpResponse,
            earlier: Int,
        ): AnswerOwnership = AnswerOwnership.OWN

        override fun onHead(head: HttpResponse) {
            this.head = head
        }

        override fun onContent(content: ByteBuf) {
            if (body.size() + content.readableBytes() > maximumBytes) {
                connection?.abandon()
                end(HttpCallResult.NoAnswer("answer exceeds $maximumBytes bytes"))
            } else {
                content.readBytes(body, content.readableBytes())
            }
        }

        override fun onEnd() {
            val answered = head ?: return end(HttpCallResult.NoAnswer("answer without a head"))
            end(HttpCallResult.Answered(answered.status().code(), answered.headers(), body.toByteArray()))
        }

        override fun onBroken(reason: String): Unit = end(HttpCallResult.NoAnswer(reason))

        private fun end(result: HttpCallResult) {
            if (ended) return
            ended = true
            timeoutTimer?.cancel()
            done(result)
        }
    }

    private companion object {
        /**
         * Postpones a timeout to the next iteration of the event loop.
         *
         * On an overloaded node the answer may have arrived without having been read. The event loop reads it before it
         * runs the timers of its next iteration.
         */
        val NEXT_ITERATION = 1.milliseconds

        /** The buffer doubles when it grows. */
        const val COPIES = 2L

        /**
         * Calls can be repeated, or their outcome is determined by a later read, so that any idle connection may be
         * reused.
         */
        val MAXIMUM_IDLE = 20.seconds
    }
}
