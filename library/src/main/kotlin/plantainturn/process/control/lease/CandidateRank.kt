package plantainturn.process.control.lease

import com.google.common.hash.Hashing
import plantainturn.connection.engine.FenceNumber
import plantainturn.version.configuration.NodeName

/**
 * Orders the candidates for a lease by a rendezvous hash, so that few of them claim at the same time.
 *
 * The order changes with each lease. Nodes that know different sets of [nodes] rank differently, which costs a refused
 * claim and nothing else.
 *
 * @param nodes the nodes that are thought to be alive
 */
public class CandidateRank(
    private val shard: String,
    private val self: NodeName,
    private val nodes: () -> Collection<NodeName>,
) {
    /** Returns how many nodes go before this one for the lease that follows [fence]. */
    public fun rank(fence: FenceNumber): Int {
        val own = weight(self, fence)
        return nodes().count { it != self && weight(it, fence) > own }
    }

    private fun weight(
        node: NodeName,
        fence: FenceNumber,
    ): Long = Hashing.farmHashFingerprint64().hashString("$shard/$fence/$node", Charsets.UTF_8).asLong()
}
