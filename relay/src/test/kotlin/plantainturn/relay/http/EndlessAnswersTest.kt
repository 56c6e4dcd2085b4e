package plantainturn.relay.http

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpMethod
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import plantainturn.connection.http.HeldBytes
import plantainturn.connection.roster.SocketLocation
import plantainturn.process.time.ExecutorTimerService
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Servers send answers without end on many connections, each of them below the limits of one answer. */
class EndlessAnswersTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next() as EventLoop
    private val server = ServerSocket(0, CALLS, LOOPBACK)
    private val client = HttpClient(loop, ExecutorTimerService(loop), HeldBytes(LIMIT))

    @AfterEach
    fun close() {
        server.close()
        group.shutdownGracefully(1, 1_000, TimeUnit.MILLISECONDS).await()
    }

    @Test
    fun `bodies in large pieces are given up when all together hold too much`(): Unit =
        assertGivenUp("HTTP/1.1 200 OK\r\n\r\n", "x".repeat(100_000), count = 20)

    @Test
    fun `bodies in tiny pieces are given up when all together hold too much`(): Unit =
        assertGivenUp("HTTP/1.1 200 OK\r\n\r\n", "x".repeat(100), count = 20_000)

    @Test
    fun `heads in large pieces are given up when all together hold too much`(): Unit =
        assertGivenUp("HTTP/1.1 200 OK\r\n", "N:v\r\n".repeat(2_000), count = 3)

    @Test
    fun `heads in tiny pieces are given up when all together hold too much`(): Unit =
        assertGivenUp("HTTP/1.1 200 OK\r\n", "N:v\r\n", count = 6_000)

    private fun assertGivenUp(
        begin: String,
        piece: String,
        count: Int,
    ) {
        thread(isDaemon = true) { accept(begin, piece, count) }
        val endless = LinkedBlockingQueue<HttpCallResult>()
        repeat(CALLS) { call("/endless") { endless += it } }
        val results = List(LEAST_GIVEN_UP) { endless.poll(TIMEOUT.inWholeSeconds / 2, TimeUnit.SECONDS) }
        for (result in results) {
            val reason = assertIs<HttpCallResult.NoAnswer>(result).reason
            assertTrue("hold more than $LIMIT bytes" in reason, reason)
        }
        val sound = LinkedBlockingQueue<HttpCallResult>()
        call("/sound") { sound += it }
        assertIs<HttpCallResult.Answered>(sound.poll(TIMEOUT.inWholeSeconds, TimeUnit.SECONDS))
    }

    private fun call(
        target: String,
        done: (HttpCallResult) -> Unit,
    ): Unit =
        loop.execute {
            val location = SocketLocation(LOOPBACK.hostAddress, server.localPort)
            client.call(location, HttpCall(HttpMethod.GET, target), TIMEOUT, done)
        }

    private fun accept(
        begin: String,
        piece: String,
        count: Int,
    ) {
        try {
            while (true) {
                val socket = server.accept()
                socket.tcpNoDelay = true
                thread(isDaemon = true) { serve(socket, begin, piece, count) }
            }
        } catch (_: IOException) {
            return
        }
    }

    private fun serve(
        socket: Socket,
        begin: String,
        piece: String,
        count: Int,
    ) {
        try {
            val lines = socket.getInputStream().bufferedReader()
            val isSound = "/sound" in lines.readLine()
            val output = socket.getOutputStream()
            if (isSound) {
                output.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".toByteArray())
                return
            }
            output.write(begin.toByteArray())
            val bytes = piece.toByteArray()
            repeat(count) { output.write(bytes) }
        } catch (_: IOException) {
            socket.close()
        }
    }

    private companion object {
        const val CALLS = 40

        /** Bytes of a few of the answers. */
        const val LIMIT = 8_000_000L
        const val LEAST_GIVEN_UP = 20
        val TIMEOUT = 20.seconds
        val LOOPBACK: InetAddress = InetAddress.getByName("127.0.0.1")
    }
}
