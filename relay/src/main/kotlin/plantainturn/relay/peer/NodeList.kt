package plantainturn.relay.peer

import plantainturn.process.time.Moment
import kotlin.time.Duration

/**
 * The nodes that report to the issuer, for nodes that have to know each other.
 *
 * A new issuer hears of its nodes one by one, so it lists none until every node must have reported: a node keeps what
 * the former issuer has told meanwhile.
 */
internal class NodeList {
    private var changes = KeyedChanges<String, String>()
    private var beganAt = Moment.ORIGIN
    private var patience = Duration.INFINITE

    /** Begins the list of a new term of the issuer. */
    fun begin(now: Moment) {
        changes = KeyedChanges()
        beganAt = now
    }

    /**
     * Takes over the [reports] of the present nodes, in the order of their arrival.
     *
     * @param patience after which a node that has not reported does not count as present
     */
    fun update(
        reports: List<NodeReport>,
        patience: Duration,
    ) {
        this.patience = patience
        changes.update(
            reports
                .filter { it.address.isNotEmpty() }
                .associate { it.address to Integer.toHexString(it.node.hashCode()) },
        )
    }

    /** Returns what changed after revision [known], null if the list is not complete yet. */
    fun since(
        known: Long,
        now: Moment,
    ): Changes? {
        if (now - beganAt <= patience) return null
        return Changes(changes.revision, changes.since(known), whole = known < 0)
    }

    /**
     * Changes of the list.
     *
     * @property runs the short name of the run at each address, null for a removed node
     * @property whole whether [runs] contains all nodes
     */
    class Changes(
        val revision: Long,
        val runs: Map<String, String?>,
        val whole: Boolean,
    )
}
