package plantainturn.relay.peer

import io.netty.channel.EventLoop
import plantainturn.connection.http.HeldBytes
import plantainturn.connection.roster.SocketLocation
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.relay.http.ConnectionPool
import plantainturn.relay.request.RequestForwarder
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/**
 * Chooses the nodes to which requests are handed while this one is cut off from a service.
 *
 * The issuer tells a node that is cut off which others are not. Until then any known node is tried. Of two at random
 * the one with fewer requests of this node takes the next, so that no node gets them all. One that can't take requests
 * is left alone for a while.
 */
internal class PeerForwarder(
    private val loop: EventLoop,
    private val timer: TimerService,
    private val held: HeldBytes,
    private val known: KnownPeers,
    private val random: Random = Random.Default,
) : RequestForwarder {
    private val pools = HashMap<SocketLocation, ConnectionPool>()
    private val inFlight = HashMap<SocketLocation, Int>()
    private val unusableUntil = HashMap<SocketLocation, Moment>()
    private var reaching: List<SocketLocation> = emptyList()
    private var reachingAt = Moment.ORIGIN

    override val hasPeers: Boolean
        get() = candidates().isNotEmpty()

    /** Takes over which nodes reach the services, as the issuer told. */
    fun onReachingPeers(addresses: List<String>) {
        if (addresses.isEmpty()) return
        reaching = addresses.mapNotNull(SocketLocation::parse)
        reachingAt = timer.now()
    }

    override fun choose(avoided: Set<SocketLocation>): SocketLocation? {
        val now = timer.now()
        unusableUntil.values.removeIf { it <= now }
        val usable = candidates().filter { it !in avoided && it !in unusableUntil }
        return usable.shuffled(random).take(CHOICES).minByOrNull { inFlight[it] ?: 0 }
    }

    override fun pool(peer: SocketLocation): ConnectionPool =
        pools.getOrPut(peer) { ConnectionPool(loop, peer, timer, held) }

    override fun onBegin(peer: SocketLocation) {
        inFlight.merge(peer, 1, Int::plus)
    }

    override fun onEnd(
        peer: SocketLocation,
        usable: Boolean,
    ) {
        inFlight.computeIfPresent(peer) { _, count -> (count - 1).takeIf { it > 0 } }
        if (!usable) unusableUntil[peer] = timer.now() + UNUSABLE_TIME
    }

    private fun candidates(): List<SocketLocation> =
        if (timer.now() - reachingAt < REACHING_AGE) reaching else known.all()

    private companion object {
        const val CHOICES = 2

        /** Several exchanges with the issuer. */
        val REACHING_AGE = 2.seconds
        val UNUSABLE_TIME = 1.seconds
    }
}
