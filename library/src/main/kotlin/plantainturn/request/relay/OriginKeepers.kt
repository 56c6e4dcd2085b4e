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
    private val listed = HashMap<String, ListedNode>()
    private val avoidedUntil = HashMap<OriginKeeper, Moment>()
    private var presentBefore: Set<OriginKeeper> = emptySet()

    /** Increases whenever other nodes may have to keep an origin than before. */
    public var revision: Long = 0
        private set

    /** The number of other nodes that may keep origins. */
    public val size: Int
        get() = present().size

    /**
     * Takes over which nodes there are.
     *
     * A new issuer hears of the nodes one by one, so those that its predecessor listed count as present for a while.
     *
     * @param changes the run of each node by its address, null for a removed node
     * @param isFirst whether these are the first changes of an issuer
     */
    public fun onNodes(
        changes: Map<String, String?>,
        isFirst: Boolean,
    ) {
        val now = timer.now()
        if (isFirst) listed.values.forEach { it.leaveBy(now + CONFIRMATION_TIME) }
        for ((address, run) in changes) {
            if (run == null) {
                listed[address]?.leaveBy(now)
            } else if (address != own) {
                listed[address] = ListedNode(run)
            }
        }
        updateRevision()
    }

    /** Returns the nodes that should keep the origin of [stream]. */
    public fun keepersOf(stream: RequestIdentifier): List<OriginKeeper> {
        val usable = present().filter { it !in avoidedUntil }.associateBy { it.address }
        return RendezvousHash.nodesOf(stream.value, usable.keys.toList(), KEEPERS).map(usable::getValue)
    }

    /** Returns the addresses of the nodes that may keep the origin of [stream], also of some that are not present. */
    public fun candidatesFor(stream: RequestIdentifier): List<String> {
        val known = if (listed.isEmpty()) fallback() else listed.keys.toList()
        return RendezvousHash.nodesOf(stream.value, known, CANDIDATES)
    }

    /** Chooses other nodes in place of [keeper] for [pause]. */
    public fun avoid(
        keeper: OriginKeeper,
        pause: Duration,
    ) {
        if (avoidedUntil.put(keeper, timer.now() + pause) == null) revision++
    }

    /** Takes account of pauses that end and nodes that are no longer present; to be called several times per second. */
    public fun step() {
        val now = timer.now()
        if (avoidedUntil.values.removeIf { it <= now }) revision++
        listed.values.removeIf { node -> node.leftAt?.let { now - it > REMEMBERED_TIME } ?: false }
        updateRevision()
    }

    private fun updateRevision() {
        val present = present().toSet()
        if (present != presentBefore) revision++
        presentBefore = present
    }

    private fun present(): List<OriginKeeper> {
        if (listed.isEmpty()) return fallback().map { OriginKeeper(it, run = null) }
        val now = timer.now()
        return listed.entries
            .filter { (_, node) -> node.leftAt?.let { now < it } ?: true }
            .map { (address, node) -> OriginKeeper(address, node.run) }
    }

    private class ListedNode(
        val run: String,
    ) {
        /** When it is or was no longer present, null if nothing is known of that. */
        var leftAt: Moment? = null
            private set

        fun leaveBy(moment: Moment) {
            leftAt = leftAt?.let { minOf(it, moment) } ?: moment
        }
    }

    public companion object {
        /** The pause of a node that did not answer. */
        public val SILENCE_PAUSE: Duration = 1.seconds

        /** The pause of a node whose build keeps no origins. */
        public val OLDER_BUILD_PAUSE: Duration = 10.seconds

        /** Longer than all nodes need to find a new issuer and report to it. */
        private val CONFIRMATION_TIME = 10.seconds

        /** A node that an issuer misses may still run, and keep what was told to it before. */
        private val REMEMBERED_TIME = 15.seconds

        /** With the node that began the stream, any two nodes may end at once. */
        private const val KEEPERS = 2

        /** All other nodes of a small deployment; else the lists of two nodes may differ in six nodes. */
        private const val CANDIDATES = 8
    }
}
