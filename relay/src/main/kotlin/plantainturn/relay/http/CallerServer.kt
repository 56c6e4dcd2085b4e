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

/** Listens for callers and keeps their connections within the configured limits. */
public class CallerServer(
    private val loop: EventLoop,
    internal val timer: TimerService,
    private val configuration: RoutingSource,
    internal val handler: CallerHandler,
) {
    private val connections = HashSet<CallerConnection>()
    private var serverChannel: Channel? = null

    /** The limits in force. */
    internal val limits: CallerLimits
        get() = configuration.current?.limits ?: CallerLimits.INITIAL

    /** Whether connections are closed after the answer that is due on them. */
    public var isClosing: Boolean = false
        private set

    /** Connections of callers that are open. */
    public val openConnections: Int
        get() = connections.size

    /** Listens at [location] and calls [done] with null, or with what went wrong. */
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

    /** Ends idle connections, and the others after the answer that is due on them. New ones are still accepted. */
    public fun drainConnections() {
        isClosing = true
        connections.toList().forEach { it.closeWhenIdle() }
    }

    /** Accepts no new connections. */
    public fun stopListening() {
        serverChannel?.close()
    }

    internal fun onOpen(connection: CallerConnection) {
        connections += connection
    }

    internal fun onClosed(connection: CallerConnection) {
        connections -= connection
    }

    /** Reads go on until one finds nothing, so that the end of a connection is seen together with its last bytes. */
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
        /** Callers that arrive together wait here; a full line costs them seconds. */
        const val BACKLOG = 1_024

        /** Reads of one connection before the others have their turn. */
        const val MAXIMUM_CONSECUTIVE_READS = 16
        val TIMEOUT_CHECK_PERIOD = 250.milliseconds
    }
}
