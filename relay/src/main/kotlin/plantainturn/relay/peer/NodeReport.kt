package plantainturn.relay.peer

import kotlinx.serialization.Serializable
import plantainturn.request.relay.KeptPart
import plantainturn.request.relay.StreamOrigin
import plantainturn.request.relay.WorkTotals

/**
 * The report that a node sends to the issuer of orders several times per second.
 *
 * @property node identifies this run of the node
 * @property work the node's own work at each instance
 * @property suspects milliseconds for which it still suspects instances that answered with errors
 * @property pressure the demand of its callers by base model
 * @property adapterUse the use of each adapter by its callers
 * @property known what it has already received from this issuer
 * @property sequence increases with each report of this run of the node
 * @property repetitionShare the largest part of what all nodes share that it may have used within the last window
 * @property departingRuns its running requests by engine and model, for models no longer counted as resident there
 * @property departures runs of instances that have an entry and announced in an answer that they are leaving
 * @property limits what instances that have an entry said about their limits on requests
 * @property streams origins of its callers' streams, while several software versions serve
 * @property unansweredOrders orders that may still be executed, other than those that this issuer has reported
 * @property configurationVersion the number of the configuration in force at the node, -1 if there is none
 * @property configuration its record with digests in place of access keys, if the issuer lacks it and either asked for
 *   it or can't read it as the store has lost it
 * @property configurationWanted whether the node knows of a later configuration that the store has not given it
 * @property address where peers reach the node
 * @property admitted what it has admitted of quotas without asking, null if its configuration has no accounts
 * @property instances records of the topic of instances that the receiver lacks, if its last answer asked for them
 * @property storeSilent whether neither the store nor an issuer that it answers has told the node of instances for some
 *   time, so that it must be told whether the store is away
 * @property cutOff services of which it reaches no instance
 * @property brittleness what instances that have an entry said about how many requests they may turn away
 * @property domain the failure domain of its VM
 * @property prompts shareable parts of prompts that engines have processed for its callers since its last report
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
    val limits: List<RelayedLimit>,
    val prompts: List<KeptPart>,
    val streams: List<StreamOrigin>,
    val configurationVersion: Long,
    val configuration: RelayedRecords.RelayedRecord?,
    val ends: TopicEnds,
    val unansweredOrders: List<RelayedOrder> = emptyList(),
    val configurationWanted: Boolean = false,
    val address: String = "",
    val admitted: AdmittedReport? = null,
    val instances: RelayedRecords? = null,
    val storeSilent: Boolean = false,
    val cutOff: List<String> = emptyList(),
    val domain: String = "",
    val brittleness: List<RelayedLimit> = emptyList(),
) {
    /** The demand of the callers of one node for one base model. */
    @Serializable
    data class PressureReport(
        val worthPerSecond: Double,
        val engineSharesWanted: Double,
        val waiting: Int,
        val adapterWorthPerSecond: Double,
    )

    /** The use of one adapter by the callers of one node. */
    @Serializable
    data class AdapterUse(
        val model: String,
        val adapter: String,
        val use: Double,
        val running: Int,
    )
}
