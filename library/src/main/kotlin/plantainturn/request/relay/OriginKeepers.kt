package plantainturn.request.relay

import plantainturn.process.membership.RendezvousHash
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.request.RequestIdentifier
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Chooses the nodes that keep the origin of a stream besides the node that began it.
 *
 * The stream's name decides, so that a node at which the caller resumes the stream finds the keepers without a third
 * node. Two nodes may know of different others for a moment, so more nodes are asked than told. Confined to one thread.
 *
 * @param own the address of this node
 * @param fallback returns the addresses to use while the issuer has listed no nodes
 */
public class OriginKeepers(
    private val own: String,
    private val timer: TimerService,
    private val fallback: () -> List<String>,
) {
    private val listed = HashMap<String, String>()
    private val avoidedUntil = HashMap<OriginKeeper, Moment>()

    /** Increases whenever other nodes may have to keep an origin than before. */
    public var revision: Long = 0
        private set

    /** The number of other nodes that may keep origins. */
    public val size: Int
        get() = nodes().size

    /**
     * Takes over which nodes there are.
     *
     * @param changes the run of each node by its address, null for a removed node
     * @param whole whether [changes] contains all nodes
     */
    public fun onNodes(
        changes: Map<String, String?>,
        whole: Boolean,
    ) {
        val before = listed.toMap()
        if (whole) listed.clear()
        for ((address, run) in changes) if (run == null) listed.remove(address) else listed[address] = run
        if (listed != before) revision++
    }

    /** Returns the nodes that should keep the origin of [stream]. */
    public fun keepersOf(stream: RequestIdentifier): List<OriginKeeper> {
        val usable = nodes().filter { it !in avoidedUntil }.associateBy { it.address }
        return RendezvousHash.nodesOf(stream.value, usable.keys.toList(), KEEPERS).map(usable::getValue)
    }

    /** Returns the addresses of the nodes that may keep the origin of [stream]. */
    public fun candidatesFor(stream: RequestIdentifier): List<String> =
        RendezvousHash.nodesOf(stream.value, nodes().map { it.address }, CANDIDATES)

    /** Chooses other nodes in place of [keeper] for [pause]. */
    public fun avoid(
        keeper: OriginKeeper,
        pause: Duration,
    ) {
        if (avoidedUntil.put(keeper, timer.now() + pause) == null) revision++
    }

    /** Chooses nodes again whose pause is over. */
    public fun endPauses() {
        val now = timer.now()
        if (avoidedUntil.values.removeIf { it <= now }) revision++
    }

    private fun nodes(): List<OriginKeeper> =
        if (listed.isEmpty()) {
            fallback().map { OriginKeeper(it, run = null) }
        } else {
            listed.filterKeys { it != own }.map { (address, run) -> OriginKeeper(address, run) }
        }

    public companion object {
        /** The pause of a node that did not answer. */
        public val SILENCE_PAUSE: Duration = 1.seconds

        /** The pause of a node whose build keeps no origins. */
        public val OLDER_BUILD_PAUSE: Duration = 10.seconds

        /** With the node that began the stream, any two nodes may end at once. */
        private const val KEEPERS = 2

        /** Finds a keeper if the two nodes differ in three others, the one that began the stream included. */
        private const val CANDIDATES = 5
    }
}
