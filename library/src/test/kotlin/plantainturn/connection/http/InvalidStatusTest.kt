package plantainturn.connection.http

import okhttp3.Request
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

/** Servers whose answers have no valid status. */
class InvalidStatusTest {
    private val server = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))
    private val exchanger = HttpExchanger(HttpClients.create(), "http://127.0.0.1:${server.localPort}")

    @AfterEach
    fun close(): Unit = server.close()

    /** Guards against a made-up status that is taken for the result of a call. */
    @Test
    fun `an answer without a valid status leaves the outcome unknown`() {
        val early = "103 Early\r\n\r\nHTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200"
        for (status in listOf("600", "999", "20", "2000", "099", "000", "+200", "0200", "101", early)) {
            assertIs<HttpExchangeResult.Unknown>(answeredWith(status), "after the status $status")
        }
    }

    private fun answeredWith(status: String): HttpExchangeResult {
        thread(isDaemon = true) {
            server.accept().use { socket ->
                val head = StringBuilder()
                while (!head.endsWith("\r\n\r\n")) head.append(socket.getInputStream().read().toChar())
                socket.getOutputStream().write("HTTP/1.1 $status OK\r\nContent-Length: 2\r\n\r\nok".toByteArray())
            }
        }
        return exchanger.exchange(Request.Builder().url(exchanger.url("x").build()), TIMEOUT)
    }

    private companion object {
        val TIMEOUT = 10.seconds
    }
}
