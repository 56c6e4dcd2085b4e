package plantainturn.relay.http

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import plantainturn.connection.roster.SocketLocation
import plantainturn.process.time.ExecutorTimerService
import plantainturn.relay.loop.LoopPolls
import plantainturn.version.route.RoutingConfiguration
import plantainturn.version.route.RoutingSource
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.channels.spi.SelectorProvider
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class CallerServerTest {
    private val polls = LoopPolls()
    private val group =
        MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory(SelectorProvider.provider(), polls))
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

    /**
     * Guards against requests whose time is counted from when a busy node read them, seconds after they came: 14 of 26
     * went on at their servers after their callers had left.
     */
    @Test
    fun `a request that waited while the event loop was busy counts from before it came`() {
        val server = listen()
        Socket(LOOPBACK, port).use { kept ->
            while (server.openConnections == 0) Thread.sleep(POLL_MILLISECONDS)
            val sockets = ArrayList<Socket>()
            val sentAt = ArrayList<Long>()
            runBusy {
                // One comes on a connection that is open, the other on one that is still to be accepted.
                sockets += kept
                sockets += Socket(LOOPBACK, port)
                sentAt += System.nanoTime()
                sockets.forEach { it.getOutputStream().write(REQUEST) }
                spin(BUSY_MILLISECONDS)
            }
            repeat(2) { assertEquals("handled", handler.events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)) }

            for (request in handler.requests.takeLast(2)) {
                assertTrue(request.receivedAt.nanoseconds <= sentAt.single(), "counted from after it came")
            }
            sockets.last().close()
        }
    }

    /** Guards against requests that are sent to servers in a long turn of the loop, after their callers have left. */
    @Test
    fun `a caller that left while the event loop was busy is not waiting any more`() {
        listen()
        val awaited = ArrayList<Boolean>()
        Socket(LOOPBACK, port).use { staying ->
            ask(staying)
            val leaving = Socket(LOOPBACK, port)
            ask(leaving)
            runBusy {
                leaving.close()
                spin(BUSY_MILLISECONDS)
                awaited += handler.replies.map { it.isAwaited() }
            }
        }
        assertEquals(listOf(true, false), awaited)
    }

    /**
     * Guards against callers that wait for many turns of a busy loop, which accepts 16 connections in each by
     * itself.
     */
    @Test
    fun `all connections that wait are accepted in one turn`() {
        listen()
        val sockets = ArrayList<Socket>()
        runBusy {
            repeat(CROWD) { sockets += Socket(LOOPBACK, port) }
            sockets.forEach { it.getOutputStream().write(REQUEST) }
        }
        val polls = polls.count
        repeat(CROWD) { assertEquals("handled", handler.events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)) }
        val turns = handler.handledAtPoll.last() - polls
        sockets.forEach { it.close() }

        assertTrue(turns < MOST_TURNS, "$turns turns")
    }

    private fun ask(socket: Socket) {
        socket.getOutputStream().write(REQUEST)
        assertEquals("handled", handler.events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS))
    }

    /** Runs [action] on the event loop, which does nothing else meanwhile. */
    private fun runBusy(action: () -> Unit) {
        loop.submit(action).await()
    }

    private fun spin(milliseconds: Long) {
        val end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds)
        while (System.nanoTime() < end) Thread.onSpinWait()
    }

    private fun listen(): CallerServer {
        val listening = CountDownLatch(1)
        val server = CallerServer(loop, ExecutorTimerService(loop), NoRouting, handler, polls = polls)
        server.listen(SocketLocation(LOOPBACK.hostAddress, port)) { listening.countDown() }
        listening.await()
        return server
    }

    private object NoRouting : RoutingSource {
        override val current: RoutingConfiguration? = null
    }

    private inner class RecordingHandler : CallerHandler {
        val events = LinkedBlockingQueue<String>()
        val requests = CopyOnWriteArrayList<CallerRequest>()
        val replies = CopyOnWriteArrayList<CallerReply>()
        val handledAtPoll = CopyOnWriteArrayList<Long>()

        override fun handle(
            request: CallerRequest,
            reply: CallerReply,
        ): CallerConnectionListener {
            requests += request
            replies += reply
            handledAtPoll += polls.count
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
        const val BUSY_MILLISECONDS = 400L
        const val POLL_MILLISECONDS = 5L
        const val CROWD = 100

        /** Accepting, reading, handing over, with a few more; at 16 connections in a turn it takes 7 to accept them. */
        const val MOST_TURNS = 6L
        val LOOPBACK: InetAddress = InetAddress.getByName("127.0.0.1")
        val REQUEST = "GET /x HTTP/1.1\r\nHost: host\r\n\r\n".toByteArray()
    }
}
