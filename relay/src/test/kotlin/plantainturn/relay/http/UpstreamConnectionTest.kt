package plantainturn.relay.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import org.junit.jupiter.api.Test
import plantainturn.connection.http.HeldBytes
import plantainturn.connection.roster.SocketLocation
import plantainturn.process.time.VirtualTimerService
import kotlin.test.assertIs
import kotlin.test.assertSame
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class UpstreamConnectionTest {
    private val timer = VirtualTimerService()
    private val decoder = StrictResponseDecoder()
    private val pool = ConnectionPool(EmbeddedChannel().eventLoop(), SocketLocation("127.0.0.1", 1), timer, HeldBytes())
    private val connection = UpstreamConnection(decoder, pool)
    private val channel = EmbeddedChannel(HttpRequestEncoder(), decoder, connection)
    private var answered = false

    /** Guards against a later answer, or bytes between two answers, that are never read. */
    @Test
    fun `a connection whose answer ended while its caller was slow reads again when it is idle`() {
        send { connection.setReading(false) }
        channel.writeInbound(ascii("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
        assertTrue(answered)
        timer.advance(1.milliseconds)

        pool.acquire(1.seconds) { result ->
            assertSame(connection, assertIs<ConnectionResult.Ready>(result).connection)
        }
        assertTrue(channel.config().isAutoRead)
    }

    private fun send(onContent: () -> Unit) {
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x")
        connection.send(
            request,
            object : AnswerReceiver {
                override val heldBytes: Long = 0

                override fun ownershipOf(
                    head: HttpResponse,
                    earlier: Int,
                ): AnswerOwnership = AnswerOwnership.OWN

                override fun onHead(head: HttpResponse) = Unit

                override fun onContent(content: ByteBuf): Unit = onContent()

                override fun onEnd() {
                    answered = true
                }

                override fun onBroken(reason: String): Unit = error(reason)
            },
        )
    }

    private fun ascii(text: String): ByteBuf = Unpooled.copiedBuffer(text, Charsets.US_ASCII)
}
