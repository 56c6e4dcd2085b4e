package plantainturn.relay.peer

import kotlinx.serialization.Serializable
import plantainturn.connection.store.StorePosition
import plantainturn.request.relay.KeptPart
import plantainturn.request.relay.StreamOrigin
import plantainturn.request.relay.WorkTotals

/**
 * The answer of the issuer of orders to a [NodeReport].
 *
 * @property issuing whether the answering node holds the lease
 * @property nodes the number of nodes that reported recently, itself included
 * @property repetitionShare the share of what all nodes may use together that the node may use, null if not determined
 * @property work the work of all other nodes at each instance
 * @property suspects milliseconds for which any node still suspects an instance that answered with errors
 * @property departures runs of instances that announced in an answer to some node that they are leaving
 * @property limits what instances that have an entry said about their limits on requests
 * @property known what the node has received from this issuer once it has this report
 * @property residenceWhole whether [residence] contains all engines, not only those that changed
 * @property residence models and their adapters at each engine, null for a removed engine
 * @property instances records of the topic of instances that the node has not read, null if there are none
 * @property breaks records of the topic of crash evidence that the node has not read, null if there are none
 * @property configurationVersion the number of the configuration in force at the issuer, -1 if there is none
 * @property configuration its record with digests in place of access keys, if the node lacks it and either asked for it
 *   or can't read it as the store has lost it
 * @property configurationWanted whether the issuer lacks the node's configuration and asks for its record
 * @property configurationAge milliseconds since the store last answered the issuer about the configuration, null if
 *   never or not reported
 * @property latestConfigurationVersion the number of the latest configuration that any node has reported
 * @property holder where the answering node believes the lease's holder, null if it does not know
 * @property peers addresses of a few other nodes
 * @property storeAge milliseconds since the store last answered the issuer about instances
 * @property loadAges milliseconds since the start of recent loads from the weight store, for the next issuer
 * @property unansweredOrders orders that were not answered and may still be executed, for the next issuer
 * @property prompts cached parts of prompts that the node has not received
 * @property streams origins of streams that the node has not received, as many as the exchanges can carry
 * @property boundAccounts accounts for which nodes ask before they admit a request, null if the issuer counts none
 * @property informing whether the answering node holds the lease and no other can: it reads the store for the others,
 *   also while it must not issue orders yet
 * @property instancesWantedFrom up to where the answering node has read the topic of instances, if the store has not
 *   answered it about them for some time and it asks for records from there on; null otherwise
 * @property brittleness what instances that have an entry said about how many requests they may turn away
 * @property reaching addresses of some nodes that reach all services, if the node does not
 * @property nodeRuns which run of a node is at each address, as far as the node has not received it; null for a removed
 *   node; empty unless several software versions serve
 * @property nodeRunsFirst whether the node has received no [nodeRuns] of this issuer
 * @property arrivals expected milliseconds until each model that is being loaded is resident
 */
@Serializable
internal data class IssuerReport(
    val issuing: Boolean,
    val nodes: Int,
    val repetitionShare: Double?,
    val work: Map<String, WorkTotals>,
    val suspects: Map<String, Long>,
    val departures: List<RelayedDeparture>,
    val limits: List<RelayedLimit>,
    val known: IssuerKnowledge,
    val residenceWhole: Boolean,
    val residence: Map<String, Map<String, List<String>>?>,
    val arrivals: Map<String, Long>,
    val instances: RelayedRecords?,
    val storeAge: Long?,
    val loadAges: List<Long>,
    val prompts: List<KeptPart>,
    val streams: List<StreamOrigin>,
    val breaks: RelayedRecords?,
    val configurationVersion: Long,
    val configuration: RelayedRecords.RelayedRecord?,
    val ends: TopicEnds,
    val unansweredOrders: List<RelayedOrder> = emptyList(),
    val configurationWanted: Boolean = false,
    val configurationAge: Long? = null,
    val latestConfigurationVersion: Long = -1,
    val holder: String? = null,
    val peers: List<String> = emptyList(),
    val boundAccounts: List<String>? = null,
    val informing: Boolean = false,
    val instancesWantedFrom: StorePosition? = null,
    val reaching: List<String> = emptyList(),
    val brittleness: List<RelayedLimit> = emptyList(),
    val nodeRuns: Map<String, String?> = emptyMap(),
    val nodeRunsFirst: Boolean = false,
)
