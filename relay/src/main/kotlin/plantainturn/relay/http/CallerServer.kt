package plantainturn.relay.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import plantainturn.connection.roster.SocketLocation
import plantainturn.process.time.TimerService
import plantainturn.version.route.CallerLimits
import plantainturn.version.route.RoutingSource
import kotlin.time.Duration.Companion.milliseconds

/** Accepts connections of callers and enforces the configured limits on them. */
public class CallerServer(
    private val loop: EventLoop,
    internal val timer: TimerService,
    private val configuration: RoutingSource,
    internal val handler: CallerHandler,
) {
    private val connections = HashSet<CallerConnection>()
    private var serverChannel: Channel? = null

    /** The limits of the current configuration, or the initial ones as long as there is none. */
    internal val limits: CallerLimits
        get() = configuration.current?.limits ?: CallerLimits.INITIAL

    /** Whether each connection is closed after its next answer. */
    public var isClosing: Boolean = false
        private set

    /** Number of open connections of callers. */
    public val openConnections: Int
        get() = connections.size

    /** Listens at [location] and calls [done] with null on success or with the failure. */
    public fun listen(
        location: SocketLocation,
        done: (Throwable?) -> Unit,
    ) {
        timer.subscribe(TIMEOUT_CHECK_PERIOD) {
            val now = timer.now()
            connections.toList().forEach { it.checkTimeouts(now) }
        }
        ServerBootstrap()
            .group(loop, loop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, readUntilEmptyAllocator())
            .childHandler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) {
                        val connection = CallerConnection(this@CallerServer)
                        channel.pipeline().addLast(
                            ByteListener(connection),
                            StrictRequestDecoder(limits),
                            HttpResponseEncoder(),
                            connection,
                        )
                    }
                },
            ).bind(location.ip, location.port)
            .addListener { future ->
                serverChannel = (future as ChannelFuture).channel()
                done(future.cause())
            }
    }

    /** Closes idle connections, and the others after their current answer. New connections are still accepted. */
    public fun drainConnections() {
        isClosing = true
        connections.toList().forEach { it.closeWhenIdle() }
    }

    /** Stops accepting new connections. */
    public fun stopListening() {
        serverChannel?.close()
    }

    internal fun onOpen(connection: CallerConnection) {
        connections += connection
    }

    internal fun onClosed(connection: CallerConnection) {
        connections -= connection
    }

    /** Reads until no bytes are left, so that the close of a connection is seen together with its last bytes. */
    private fun readUntilEmptyAllocator() =
        AdaptiveRecvByteBufAllocator().apply {
            maxMessagesPerRead(MAXIMUM_CONSECUTIVE_READS)
            respectMaybeMoreData(false)
        }

    private class ByteListener(
        private val connection: CallerConnection,
    ) : ChannelInboundHandlerAdapter() {
        override fun channelRead(
            context: ChannelHandlerContext,
            message: Any,
        ) {
            if (message is ByteBuf && message.isReadable) connection.onBytesReceived()
            context.fireChannelRead(message)
        }
    }

    private companion object {
        /** Accept queue for callers that connect at the same time; a full queue delays them by seconds. */
        const val BACKLOG = 1_024

        /** Number of consecutive reads of one connection before the event loop turns to the others. */
        const val MAXIMUM_CONSECUTIVE_READS = 16
        val TIMEOUT_CHECK_PERIOD = 250.milliseconds
    }
}
