package plantainturn.relay.http

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpMethod
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import plantainturn.connection.roster.SocketLocation
import plantainturn.process.time.ExecutorTimerService
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

/** The store, an engine's interface or a peer answers without a length before it has read a long call. */
class EarlyAnswerTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next() as EventLoop
    private val client = HttpClient(loop, ExecutorTimerService(loop))
    private val server =
        ServerSocket().apply {
            // A small buffer makes the client wait for this server.
            receiveBufferSize = RECEIVE_BUFFER_BYTES
            bind(InetSocketAddress(LOOPBACK, 0))
        }

    @AfterEach
    fun close() {
        server.close()
        group.shutdownGracefully(1, 1_000, TimeUnit.MILLISECONDS).await()
    }

    /** Guards against a part of the store's or a peer's answer that is taken for the whole of it. */
    @Test
    fun `an answer whose connection is reset while its call is being sent is not complete`() {
        for (part in listOf("", "part")) {
            val result =
                call { socket ->
                    write(socket, "HTTP/1.1 200 OK\r\n\r\n$part")
                    Thread.sleep(PAUSE_MILLISECONDS)
                    socket.setSoLinger(true, 0)
                    socket.close()
                }
            assertIs<HttpCallResult.NoAnswer>(result, "after \"$part\"")
        }
    }

    @Test
    fun `an answer whose server reads the call to its end is complete`() {
        val result =
            call { socket ->
                write(socket, "HTTP/1.1 200 OK\r\n\r\nbegin ")
                Thread.sleep(PAUSE_MILLISECONDS)
                socket.getInputStream().skipNBytes(BODY_BYTES.toLong())
                write(socket, "rest")
                socket.close()
            }
        assertEquals("begin rest", assertIs<HttpCallResult.Answered>(result).body.decodeToString())
    }

    @Test
    fun `an answer that ends while its call is being sent is complete`() {
        val result =
            call { socket ->
                write(socket, "HTTP/1.1 200 OK\r\n\r\nwhole")
                socket.shutdownOutput()
                Thread.sleep(PAUSE_MILLISECONDS)
            }
        assertEquals("whole", assertIs<HttpCallResult.Answered>(result).body.decodeToString())
    }

    /** Sends a long call to a server that reads its head and then does [answer]. */
    private fun call(answer: (Socket) -> Unit): HttpCallResult {
        thread(isDaemon = true) {
            val socket = server.accept()
            val head = StringBuilder()
            while (!head.endsWith("\r\n\r\n")) head.append(socket.getInputStream().read().toChar())
            answer(socket)
        }
        val results = LinkedBlockingQueue<HttpCallResult>()
        loop.execute {
            val location = SocketLocation(LOOPBACK.hostAddress, server.localPort)
            client.call(location, HttpCall(HttpMethod.POST, "/x", ByteArray(BODY_BYTES)), TIMEOUT) { results += it }
        }
        return requireNotNull(results.poll(2 * TIMEOUT.inWholeSeconds, TimeUnit.SECONDS))
    }

    private fun write(
        socket: Socket,
        text: String,
    ): Unit = socket.getOutputStream().write(text.toByteArray())

    private companion object {
        const val RECEIVE_BUFFER_BYTES = 4_096

        /** More than the buffers of a connection on loopback take. */
        const val BODY_BYTES = 8_000_000

        /** The client has read what was written by then, and waits to send the rest. */
        const val PAUSE_MILLISECONDS = 200L
        val TIMEOUT = 10.seconds
        val LOOPBACK: InetAddress = InetAddress.getByName("127.0.0.1")
    }
}
