package plantainturn.relay.http

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import plantainturn.connection.roster.SocketLocation
import plantainturn.process.time.ExecutorTimerService
import plantainturn.version.route.RoutingConfiguration
import plantainturn.version.route.RoutingSource
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals

class CallerServerTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next() as EventLoop
    private val port = ServerSocket(0, 1, LOOPBACK).use { it.localPort }
    private val handler = RecordingHandler()

    @AfterEach
    fun close() {
        group.shutdownGracefully(1, 1_000, TimeUnit.MILLISECONDS).await()
    }

    /**
     * Guards against requests sent to servers although their callers had disconnected.
     *
     * While the event loop is blocked, a request and the close of its connection arrive and are read together.
     */
    @Test
    fun `a request whose caller disconnected while the event loop was blocked is not handled`() {
        listen()
        val unblocked = CountDownLatch(1)
        loop.execute { unblocked.await() }
        Socket(LOOPBACK, port).use { it.getOutputStream().write(REQUEST) }
        unblocked.countDown()

        assertEquals("gone", handler.events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS))
    }

    @Test
    fun `a request whose caller is still connected is handled`() {
        listen()
        Socket(LOOPBACK, port).use {
            it.getOutputStream().write(REQUEST)
            assertEquals("handled", handler.events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS))
        }
    }

    private fun listen() {
        val listening = CountDownLatch(1)
        val server = CallerServer(loop, ExecutorTimerService(loop), NoRouting, handler)
        server.listen(SocketLocation(LOOPBACK.hostAddress, port)) { listening.countDown() }
        listening.await()
    }

    private object NoRouting : RoutingSource {
        override val current: RoutingConfiguration? = null
    }

    private class RecordingHandler : CallerHandler {
        val events = LinkedBlockingQueue<String>()

        override fun handle(
            request: CallerRequest,
            reply: CallerReply,
        ): CallerConnectionListener {
            events += "handled"
            return NoOpListener
        }

        override fun onAlreadyDisconnected(request: CallerRequest) {
            events += "gone"
        }

        override fun onUnreadable(
            reply: CallerReply,
            status: Int,
            reason: String,
        ) {
            events += "unreadable"
        }
    }

    private object NoOpListener : CallerConnectionListener {
        override fun onCallerDisconnected() = Unit

        override fun onWritabilityChanged(writable: Boolean) = Unit
    }

    private companion object {
        const val TIMEOUT_SECONDS = 10L
        val LOOPBACK: InetAddress = InetAddress.getByName("127.0.0.1")
        val REQUEST = "GET /x HTTP/1.1\r\nHost: host\r\n\r\n".toByteArray()
    }
}
