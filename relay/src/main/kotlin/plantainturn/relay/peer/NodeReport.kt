package plantainturn.relay.peer

import kotlinx.serialization.Serializable
import plantainturn.request.relay.KeptPart
import plantainturn.request.relay.WorkTotals

/**
 * What a node tells the issuer of orders, a few times a second.
 *
 * @property node names this run of the node
 * @property work its own work at each instance
 * @property suspects milliseconds for which it suspects instances that answered errors
 * @property pressure what its callers want, by base model
 * @property adapterUse how much its callers use each adapter
 * @property known what it has from this issuer already
 * @property sequence grows with each report of this run of the node
 * @property repetitionShare the largest part of the fixed repetitions that it may have used lately
 * @property departingRuns its requests at engines that run models which the issuer no longer counts there
 * @property departures instances with an entry that said in an answer that they leave
 * @property prompts shared parts of prompts that engines have read for its callers since its last report
 */
@Serializable
internal data class NodeReport(
    val node: String,
    val sequence: Long,
    val repetitionShare: Double,
    val work: Map<String, WorkTotals>,
    val suspects: Map<String, Long>,
    val pressure: Map<String, PressureReport>,
    val adapterUse: List<AdapterUse>,
    val known: IssuerKnowledge,
    val departingRuns: Map<String, Map<String, Int>>,
    val departures: List<RelayedDeparture>,
    val prompts: List<KeptPart>,
    val ends: TopicEnds,
) {
    /** What callers of one node want of one base model. */
    @Serializable
    data class PressureReport(
        val worthPerSecond: Double,
        val engineSharesWanted: Double,
        val waiting: Int,
        val adapterWorthPerSecond: Double,
    )

    /** How much callers of one node use one adapter. */
    @Serializable
    data class AdapterUse(
        val model: String,
        val adapter: String,
        val use: Double,
        val running: Int,
    )
}
