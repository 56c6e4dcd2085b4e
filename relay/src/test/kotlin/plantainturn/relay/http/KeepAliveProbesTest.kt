package plantainturn.relay.http

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assumptions.assumeTrue
import org.junit.jupiter.api.Test
import plantainturn.connection.http.HeldBytes
import plantainturn.connection.roster.SocketLocation
import plantainturn.process.time.ExecutorTimerService
import plantainturn.version.route.RoutingConfiguration
import plantainturn.version.route.RoutingSource
import java.io.File
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals

/**
 * No connection uses keep-alive probes of TCP, so that `TCP_USER_TIMEOUT` can't change when a dead one is noticed.
 *
 * Read from the sockets' timers in `/proc/net/tcp`, so that options which a library sets by itself are seen too.
 */
class KeepAliveProbesTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next() as EventLoop
    private val timer = ExecutorTimerService(loop)
    private val server = ServerSocket(0, 1, LOOPBACK)

    @AfterEach
    fun close() {
        server.close()
        group.shutdownGracefully(1, 1_000, TimeUnit.MILLISECONDS).await()
    }

    @Test
    fun `a connection to a server sends no keep-alive probes`() {
        val connected = CountDownLatch(1)
        val location = SocketLocation(LOOPBACK.hostAddress, server.localPort)
        loop.execute {
            ConnectionPool(loop, location, timer, HeldBytes()).acquire(null) { connected.countDown() }
        }
        server.accept().use { accepted ->
            connected.await()
            assertEquals(NO_TIMER, timerOf(accepted.port))
        }
    }

    @Test
    fun `a connection of a caller sends no keep-alive probes`() {
        val port = ServerSocket(0, 1, LOOPBACK).use { it.localPort }
        val listening = CountDownLatch(1)
        val callerServer = CallerServer(loop, timer, NoRouting, InternalCalls)
        callerServer.listen(SocketLocation(LOOPBACK.hostAddress, port)) { listening.countDown() }
        listening.await()
        Socket(LOOPBACK, port).use { caller ->
            while (callerServer.openConnections == 0) Thread.sleep(POLL_MILLISECONDS)
            assertEquals(NO_TIMER, timerOf(port, remotePort = caller.localPort))
        }
    }

    /** Shows that the timer of a socket with probes is seen. */
    @Test
    fun `a socket with keep-alive probes has their timer`() {
        Socket(LOOPBACK, server.localPort).use { socket ->
            server.accept().use {
                socket.keepAlive = true
                assertEquals(KEEP_ALIVE_TIMER, timerOf(socket.localPort))
            }
        }
    }

    /** Returns the kind of the timer that is active for the connection with these ports. */
    private fun timerOf(
        localPort: Int,
        remotePort: Int? = null,
    ): String {
        val tables = listOf("/proc/net/tcp", "/proc/net/tcp6").map(::File).filter { it.canRead() }
        assumeTrue(tables.isNotEmpty(), "the system has no /proc/net/tcp")
        val rows = tables.flatMap { it.readLines().drop(1) }.map { it.trim().split(SPACES) }
        val row =
            rows.single {
                portOf(it[LOCAL]) == localPort &&
                    it[STATE] == ESTABLISHED &&
                    (remotePort == null || portOf(it[REMOTE]) == remotePort)
            }
        return row[TIMER].substringBefore(':')
    }

    private fun portOf(address: String): Int = address.substringAfter(':').toInt(radix = 16)

    private object NoRouting : RoutingSource {
        override val current: RoutingConfiguration? = null
    }

    private object InternalCalls : CallerHandler {
        override fun handle(
            request: CallerRequest,
            reply: CallerReply,
        ): CallerConnectionListener = error("no request is sent")

        override fun onAlreadyDisconnected(request: CallerRequest) = Unit

        override fun onUnreadable(
            reply: CallerReply,
            status: Int,
            reason: String,
        ) = Unit
    }

    private companion object {
        const val LOCAL = 1
        const val REMOTE = 2
        const val STATE = 3
        const val TIMER = 5
        const val ESTABLISHED = "01"
        const val NO_TIMER = "00"
        const val KEEP_ALIVE_TIMER = "02"
        const val POLL_MILLISECONDS = 5L
        val SPACES = Regex("\\s+")
        val LOOPBACK: InetAddress = InetAddress.getByName("127.0.0.1")
    }
}
