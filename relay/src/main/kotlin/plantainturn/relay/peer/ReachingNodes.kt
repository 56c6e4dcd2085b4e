package plantainturn.relay.peer

/** Tells a node that is cut off from a service which other nodes may take its requests. */
internal object ReachingNodes {
    /** Enough for their load to be spread, and few in each message. */
    private const val MAXIMUM = 8

    /**
     * Returns the addresses of some of the nodes that reach all services, other ones for each report.
     *
     * Those in the same failure domain come first, as bytes between domains are billed, unless the nodes there that are
     * cut off are more than those that are not.
     */
    fun of(
        asking: NodeReport,
        reports: Collection<NodeReport>,
    ): List<String> {
        val (cutOff, sound) =
            reports.filter { it.node != asking.node && it.address.isNotEmpty() }.partition { it.cutOff.isNotEmpty() }
        val near = sound.filter { it.domain == asking.domain }
        val others = cutOff.count { it.domain == asking.domain }
        val chosen = if (near.size > others) near else sound
        val first = if (chosen.isEmpty()) 0 else Math.floorMod(asking.sequence * MAXIMUM, chosen.size)
        return List(minOf(MAXIMUM, chosen.size)) { chosen[(first + it) % chosen.size].address }
    }
}
