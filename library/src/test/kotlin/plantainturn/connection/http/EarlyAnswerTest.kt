package plantainturn.connection.http

import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

/** A server answers without a length before it has read a long request. */
class EarlyAnswerTest {
    private val server =
        ServerSocket().apply {
            // A small buffer makes the client wait for this server.
            receiveBufferSize = RECEIVE_BUFFER_BYTES
            bind(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0))
        }
    private val exchanger = HttpExchanger(HttpClients.create(), "http://127.0.0.1:${server.localPort}")

    @AfterEach
    fun close(): Unit = server.close()

    /** Guards against a part of an answer that is taken for the whole of it. */
    @Test
    fun `an answer whose connection is reset while its request is being sent leaves the outcome unknown`() {
        for (part in listOf("", "part")) {
            val result =
                exchange { socket ->
                    write(socket, "HTTP/1.1 200 OK\r\n\r\n$part")
                    Thread.sleep(PAUSE_MILLISECONDS)
                    socket.setSoLinger(true, 0)
                    socket.close()
                }
            assertIs<HttpExchangeResult.Unknown>(result, "after \"$part\"")
        }
    }

    @Test
    fun `an answer with its length is complete though its connection is reset after it`() {
        val result =
            exchange { socket ->
                write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
                Thread.sleep(PAUSE_MILLISECONDS)
                socket.setSoLinger(true, 0)
                socket.close()
            }
        assertEquals("whole", assertIs<HttpExchangeResult.Answered>(result).text())
    }

    @Test
    fun `an answer whose server reads the request to its end is complete`() {
        val result =
            exchange { socket ->
                write(socket, "HTTP/1.1 200 OK\r\n\r\nbegin ")
                Thread.sleep(PAUSE_MILLISECONDS)
                socket.getInputStream().skipNBytes(BODY_BYTES.toLong())
                write(socket, "rest")
                socket.close()
            }
        assertEquals("begin rest", assertIs<HttpExchangeResult.Answered>(result).text())
    }

    /** Sends a long request to a server that reads its head and then does [answer]. */
    private fun exchange(answer: (Socket) -> Unit): HttpExchangeResult {
        thread(isDaemon = true) {
            val socket = server.accept()
            val head = StringBuilder()
            while (!head.endsWith("\r\n\r\n")) head.append(socket.getInputStream().read().toChar())
            answer(socket)
        }
        val request = Request.Builder().url(exchanger.url("x").build()).post(ByteArray(BODY_BYTES).toRequestBody())
        return exchanger.exchange(request, TIMEOUT)
    }

    private fun write(
        socket: Socket,
        text: String,
    ): Unit = socket.getOutputStream().write(text.toByteArray())

    private companion object {
        const val RECEIVE_BUFFER_BYTES = 4_096

        /** More than the buffers of a connection on loopback take. */
        const val BODY_BYTES = 8_000_000

        /** The client has begun to wait for the server by then. */
        const val PAUSE_MILLISECONDS = 200L
        val TIMEOUT = 10.seconds
    }
}
