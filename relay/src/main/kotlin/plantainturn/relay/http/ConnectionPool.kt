package plantainturn.relay.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import plantainturn.connection.http.HeldBytes
import plantainturn.connection.roster.SocketLocation
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Pools the connections of this node to one location. The most recently used connection is used first.
 *
 * @param held bounds the memory of incomplete answers
 * @param onHead called with the head of every answer, and with the moment when the answered request was sent; null for
 *   an answer that belongs to no request in progress
 */
internal class ConnectionPool(
    private val loop: EventLoop,
    private val location: SocketLocation,
    val timer: TimerService,
    val held: HeldBytes,
    val onHead: (HttpResponse, Moment?) -> Unit = { _, _ -> },
) {
    private val idle = ArrayDeque<UpstreamConnection>()
    private var closed = false

    /** Whether an idle connection exists. */
    val hasIdle: Boolean
        get() = idle.isNotEmpty()

    /**
     * Passes an idle or a new connection to [done].
     *
     * A request sent while the server closes the connection may have run. This is why a connection is not reused long
     * after it became idle, unless its server states how long it keeps idle connections open.
     *
     * @param maximumIdle longest idle time of a reused connection whose server states no such time, or null to always
     * open a new connection
     */
    fun acquire(
        maximumIdle: Duration?,
        done: (ConnectionResult) -> Unit,
    ) {
        if (maximumIdle == null) return connect(done)
        val now = timer.now()
        while (idle.isNotEmpty()) {
            val connection = idle.removeLast()
            val age = now - connection.idleSince
            val limit = minOf(connection.idleLimit ?: DEFAULT_IDLE_LIMIT, MAXIMUM_IDLE_LIMIT)
            if (!connection.isOpen || age > limit) {
                connection.abandon()
            } else if (connection.idleLimit != null || age <= maximumIdle) {
                done(ConnectionResult.Ready(connection))
                return
            } else {
                idle.addLast(connection)
                break
            }
        }
        connect(done)
    }

    /** Keeps the idle [connection] for a later request, or closes it if the pool is closed. */
    fun onIdle(connection: UpstreamConnection) {
        if (closed) {
            connection.abandon()
            return
        }
        connection.idleSince = timer.now()
        idle.addLast(connection)
    }

    /** Removes the closed [connection] from the pool. */
    fun onClosed(connection: UpstreamConnection) {
        idle.remove(connection)
    }

    /** Closes idle connections now, which may be dead. */
    fun dropIdle() {
        idle.toList().forEach { it.abandon() }
        idle.clear()
    }

    /** Closes idle connections now, and those in use once they become idle. */
    fun close() {
        closed = true
        dropIdle()
    }

    private fun connect(done: (ConnectionResult) -> Unit) {
        val connection = arrayOfNulls<UpstreamConnection>(1)
        Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOCATOR, HeapAllocator)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
            .handler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) {
                        val decoder = StrictResponseDecoder()
                        val handler = UpstreamConnection(decoder, this@ConnectionPool)
                        connection[0] = handler
                        channel.pipeline().addLast(HttpRequestEncoder(), decoder, handler)
                    }
                },
            ).connect(location.ip, location.port)
            .addListener { future -> connected(future as ChannelFuture, connection[0], done) }
    }

    private fun connected(
        future: ChannelFuture,
        connection: UpstreamConnection?,
        done: (ConnectionResult) -> Unit,
    ) {
        if (future.isSuccess && connection != null) {
            done(ConnectionResult.Ready(connection))
        } else {
            done(ConnectionResult.Failed("connect: ${future.cause()?.message}"))
        }
    }

    private companion object {
        /** Many times the round trip between any two failure domains. */
        val CONNECT_TIMEOUT = 500.milliseconds

        /** For servers that state no idle timeout; shorter than the usual idle timeouts. */
        val DEFAULT_IDLE_LIMIT = 4.seconds
        val MAXIMUM_IDLE_LIMIT = 25.seconds
    }
}
