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
import java.net.ServerSocket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds

class HttpClientTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next() as EventLoop
    private val server = ServerSocket(0, 1, LOOPBACK)

    @AfterEach
    fun close() {
        server.close()
        group.shutdownGracefully(1, 1_000, TimeUnit.MILLISECONDS).await()
    }

    /**
     * Guards against an issuer short of processor time that reports a healthy store as lost.
     *
     * The answer arrives in time, but the event loop is busy until after the timeout and has not read it yet.
     */
    @Test
    fun `an answer that arrived while the event loop was busy is not reported as a timeout`() {
        val requestReceived = CountDownLatch(1)
        val answerSent = CountDownLatch(1)
        thread(isDaemon = true) {
            val socket = server.accept()
            val input = socket.getInputStream().bufferedReader()
            while (input.readLine().isNotEmpty()) Unit
            requestReceived.countDown()
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".toByteArray())
            answerSent.countDown()
        }
        val results = LinkedBlockingQueue<HttpCallResult>()
        val timer = ExecutorTimerService(loop)
        loop.execute {
            HttpClient(loop, timer).call(
                SocketLocation(LOOPBACK.hostAddress, server.localPort),
                HttpCall(HttpMethod.GET, "/x"),
                TIMEOUT,
            ) { results += it }
        }
        requestReceived.await()
        loop.execute {
            answerSent.await()
            val end = System.nanoTime() + 2 * TIMEOUT.inWholeNanoseconds
            while (System.nanoTime() < end) Thread.onSpinWait()
        }

        assertIs<HttpCallResult.Answered>(results.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS))
    }

    private companion object {
        const val TIMEOUT_SECONDS = 10L
        val TIMEOUT = 300.milliseconds
        val LOOPBACK: InetAddress = InetAddress.getByName("127.0.0.1")
    }
}
