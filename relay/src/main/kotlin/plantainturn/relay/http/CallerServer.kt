package plantainturn.relay.http

import com.sun.management.UnixOperatingSystemMXBean
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.ServerChannelRecvByteBufAllocator
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpVersion
import plantainturn.connection.http.HeldBytes
import plantainturn.connection.roster.SocketLocation
import plantainturn.process.time.TimerService
import plantainturn.relay.loop.LoopPolls
import plantainturn.version.route.CallerLimits
import plantainturn.version.route.RoutingSource
import java.lang.management.ManagementFactory
import kotlin.time.Duration.Companion.milliseconds

/**
 * Accepts connections of callers and enforces limits on them.
 *
 * @param held counts what the connections hold in memory
 * @param versions the versions of HTTP in which requests may come
 * @param polls when the loop polls the network
 * @param currentLimits returns the limits at present
 */
public class CallerServer internal constructor(
    private val loop: EventLoop,
    internal val timer: TimerService,
    internal val handler: CallerHandler,
    internal val held: HeldBytes,
    internal val versions: Set<HttpVersion>,
    internal val polls: LoopPolls,
    private val currentLimits: () -> CallerLimits,
) {
    private val connections = HashSet<CallerConnection>()
    private var serverChannel: Channel? = null

    /** Shares the time for decoding among the connections. */
    internal val turns: TurnQueue = TurnQueue(loop)

    /** The limits at present. */
    internal val limits: CallerLimits
        get() = currentLimits()

    /** Enforces the limits of the current [configuration], or the initial ones as long as there is none. */
    public constructor(
        loop: EventLoop,
        timer: TimerService,
        configuration: RoutingSource,
        handler: CallerHandler,
        held: HeldBytes = HeldBytes(),
        polls: LoopPolls = LoopPolls(),
    ) : this(
        loop,
        timer,
        handler,
        held,
        setOf(HttpVersion.HTTP_1_1),
        polls,
        { configuration.current?.limits ?: CallerLimits.INITIAL },
    )

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
            held.relieve(now)
        }
        ServerBootstrap()
            .group(loop, loop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, acceptAllAllocator())
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.ALLOCATOR, HeapAllocator)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, readUntilEmptyAllocator())
            .childHandler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) {
                        val connection = CallerConnection(this@CallerServer)
                        channel.pipeline().addLast(
                            connection.gate,
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
        if (connections.size >= MAXIMUM_CONNECTIONS) {
            connections.filter { it.isIdle }.minByOrNull { it.idleSince }?.closeWhenIdle()
        }
        connections += connection
    }

    internal fun onClosed(connection: CallerConnection) {
        connections -= connection
    }

    /** Reads until no bytes are left, so that the close of a connection is seen together with its last bytes. */
    private fun readUntilEmptyAllocator() =
        AdaptiveRecvByteBufAllocator(MINIMUM_READ, INITIAL_READ, MAXIMUM_READ).apply {
            maxMessagesPerRead(MAXIMUM_CONSECUTIVE_READS)
            respectMaybeMoreData(false)
        }

    /**
     * Accepts all connections that wait, as their requests wait with them.
     *
     * With Netty's usual number of 16 in each turn, a loop with long turns lets callers wait for many of them.
     */
    private fun acceptAllAllocator() = ServerChannelRecvByteBufAllocator().apply { maxMessagesPerRead(BACKLOG) }

    private companion object {
        /** Accept queue for callers that connect at the same time; a full queue delays them by seconds. */
        const val BACKLOG = 1_024

        /** Number of consecutive reads of one connection before the event loop turns to the others. */
        const val MAXIMUM_CONSECUTIVE_READS = 4

        /** Bytes of a single read. Larger ones would only wait at the gate. */
        const val MINIMUM_READ = 256
        const val INITIAL_READ = 2_048
        const val MAXIMUM_READ = 16_384

        val TIMEOUT_CHECK_PERIOD = 250.milliseconds

        /** Half of the descriptors of the process, as each connection may need one to a server. */
        val MAXIMUM_CONNECTIONS: Int = maximumDescriptors() / 2

        fun maximumDescriptors(): Int =
            (ManagementFactory.getOperatingSystemMXBean() as? UnixOperatingSystemMXBean)
                ?.maxFileDescriptorCount
                ?.coerceAtMost(Int.MAX_VALUE.toLong())
                ?.toInt() ?: Int.MAX_VALUE
    }
}
