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
import plantainturn.connection.roster.SocketLocation
import plantainturn.process.time.TimerService
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The connections of this node to one location; those that were used last are used first.
 *
 * @param onHead sees the head of every answer that comes, also of one that nobody waits for
 */
internal class ConnectionPool(
    private val loop: EventLoop,
    private val location: SocketLocation,
    val timer: TimerService,
    val onHead: (HttpResponse) -> Unit = {},
) {
    private val idle = ArrayDeque<UpstreamConnection>()
    private var closed = false

    /** Whether there is a connection that no request uses. */
    val hasIdle: Boolean
        get() = idle.isNotEmpty()

    /**
     * Gives a connection to [done].
     *
     * @param maximumIdle how long a connection may have been idle if its server does not tell how long it keeps idle ones: a
     * request that crosses the server's close may have run; null if only a new connection will do
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

    /** Keeps [connection] for a later request. */
    fun onIdle(connection: UpstreamConnection) {
        if (closed) {
            connection.abandon()
            return
        }
        connection.idleSince = timer.now()
        idle.addLast(connection)
    }

    /** Forgets [connection]. */
    fun onClosed(connection: UpstreamConnection) {
        idle.remove(connection)
    }

    /** Closes idle connections, and those in use when they become idle. */
    fun close() {
        closed = true
        idle.toList().forEach { it.abandon() }
        idle.clear()
    }

    private fun connect(done: (ConnectionResult) -> Unit) {
        val connection = arrayOfNulls<UpstreamConnection>(1)
        Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
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
        /** Many round trips between any two failure domains. */
        val CONNECT_TIMEOUT = 500.milliseconds

        /** For servers that don't tell; shorter than the idle time-outs that are usual. */
        val DEFAULT_IDLE_LIMIT = 4.seconds
        val MAXIMUM_IDLE_LIMIT = 25.seconds
    }
}
