package plantainturn.relay.peer

/** The nodes that report to the issuer, for nodes that have to know each other. */
internal class NodeList {
    private var changes = KeyedChanges<String, String>()

    /** Begins the list of a new term of the issuer. */
    fun begin() {
        changes = KeyedChanges()
    }

    /** Takes over the [reports] of the present nodes, in the order of their arrival. */
    fun update(reports: List<NodeReport>): Unit =
        changes.update(
            reports
                .filter { it.address.isNotEmpty() }
                .associate { it.address to Integer.toHexString(it.node.hashCode()) },
        )

    /** Returns what changed after revision [known]. */
    fun since(known: Long): Changes = Changes(changes.revision, changes.since(known), isFirst = known < 0)

    /**
     * Changes of the list.
     *
     * @property runs the short name of the run at each address, null for a removed node
     * @property isFirst whether the node that gets them has got none of this term
     */
    class Changes(
        val revision: Long,
        val runs: Map<String, String?>,
        val isFirst: Boolean,
    )
}
