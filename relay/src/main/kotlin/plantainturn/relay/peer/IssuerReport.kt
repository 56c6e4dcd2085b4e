package plantainturn.relay.peer

import kotlinx.serialization.Serializable
import plantainturn.request.relay.KeptPart
import plantainturn.request.relay.WorkTotals

/**
 * What the issuer of orders answers to a [NodeReport].
 *
 * @property issuing whether the answering node holds the lease
 * @property nodes nodes that it heard from lately, itself included
 * @property repetitionShare the part of the fixed repetitions that the node may use, null if this node can't tell
 * @property work the work of all other nodes at each instance
 * @property suspects milliseconds for which other nodes suspect instances that answered errors
 * @property departures instances that said in an answer to some node that they leave
 * @property known what the node has from this issuer once it has this report
 * @property residenceWhole whether [residence] names all engines, and not only those that changed
 * @property residence models and their adapters at each engine, null for one that is gone
 * @property instances records of the instances' topic that the node has not read, null if there are none
 * @property breaks the same of requests that broke off at instances
 * @property storeAge milliseconds since the issuer last heard from the store about instances
 * @property loadAges milliseconds since loads from the weight store began, for an issuer that follows
 * @property prompts news of prompts that the node does not know
 * @property arrivals milliseconds until models on their way should be there
 */
@Serializable
internal data class IssuerReport(
    val issuing: Boolean,
    val nodes: Int,
    val repetitionShare: Double?,
    val work: Map<String, WorkTotals>,
    val suspects: Map<String, Long>,
    val departures: List<RelayedDeparture>,
    val known: IssuerKnowledge,
    val residenceWhole: Boolean,
    val residence: Map<String, Map<String, List<String>>?>,
    val arrivals: Map<String, Long>,
    val instances: RelayedRecords?,
    val storeAge: Long?,
    val loadAges: List<Long>,
    val prompts: List<KeptPart>,
    val breaks: RelayedRecords?,
    val ends: TopicEnds,
)
