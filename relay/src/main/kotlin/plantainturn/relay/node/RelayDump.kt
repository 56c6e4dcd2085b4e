package plantainturn.relay.node

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import plantainturn.connection.http.HeldBytes
import plantainturn.connection.roster.InstanceRoster
import plantainturn.connection.store.StoreEra
import plantainturn.process.control.lease.StoreLease
import plantainturn.relay.peer.RelayedOrder
import plantainturn.relay.request.FleetView
import plantainturn.relay.request.InstanceLinks
import plantainturn.relay.request.InstanceNotices
import plantainturn.request.quarantine.CrashAttribution
import plantainturn.request.quota.AccountLevel
import plantainturn.request.relay.OriginKeepers
import plantainturn.request.relay.PaceEstimate
import plantainturn.request.relay.PaceReason
import plantainturn.request.relay.StreamOrigins
import plantainturn.request.relay.WorkTotals
import plantainturn.version.route.ClientAccountName
import plantainturn.version.route.RoutingConfiguration
import kotlin.time.Duration

/**
 * The state of a relay node, for operators.
 *
 * @property unansweredOrders orders to engines that were not answered and may still be executed
 * @property streamOrigins the number of streams of which the node knows which software version began them
 * @property originKeepers the number of other nodes that may keep origins of its streams
 * @property heldBytes memory of messages that are not complete
 * @property largestHolders the connections that hold most of it, with their bytes
 * @property longestLoopDelayMilliseconds how late the event loop has been at most since the start
 * @property blockedSeconds how much longer requests with a trait are refused, by its fingerprint
 */
@Serializable
internal data class RelayDump(
    val node: String,
    val uptimeMilliseconds: Long,
    val storeEra: Long,
    val configurationVersion: Long?,
    val holder: StoreLease.HolderRecord?,
    val fence: Long?,
    val mayOrder: Boolean,
    val nodes: Int,
    val repetitionShare: Double,
    val inProgress: Int,
    val waiting: Int,
    val blockedSeconds: Map<String, Long>,
    val unansweredOrders: List<RelayedOrder>,
    val streamOrigins: Int,
    val originKeepers: Int,
    val heldBytes: Long,
    val largestHolders: Map<String, Long>,
    val longestLoopDelayMilliseconds: Long,
    val instances: Map<String, InstanceDump>,
    val accounts: Map<String, AccountDump> = emptyMap(),
) {
    /**
     * The quota of a client account.
     *
     * @property level the units left at the desk, null at other nodes
     * @property state whether nodes have to ask the desk, null at other nodes
     * @property admitted the units that this node has admitted without asking, less what was given back
     */
    @Serializable
    data class AccountDump(
        val level: Long?,
        val state: String?,
        val admitted: Long,
    )

    /** The state of an instance of a service. */
    @Serializable
    data class InstanceDump(
        val service: String,
        val location: String,
        val version: String,
        val leaving: Boolean,
        val models: Map<String, List<String>>,
        val ownWork: WorkTotals?,
        val restMilliseconds: Long?,
        val requestsPerSecond: Double?,
        val pace: PaceDump?,
    )

    /**
     * How fast an instance works, as this node knows it.
     *
     * @property stated how many times as long as usual its work takes by its own word
     * @property learned its usual time: seconds of an answer, or for an engine a proportion of the nominal time
     * @property inUse what dispatch goes by, in the unit of [learned]; null if the instance never stated its speed
     * @property why what [inUse] is based on, or would be
     */
    @Serializable
    data class PaceDump(
        val stated: Double?,
        val learned: Double?,
        val inUse: Double?,
        val failureShare: Double,
        val why: PaceReason,
    ) {
        constructor(estimate: PaceEstimate) : this(
            estimate.stated,
            estimate.learned,
            estimate.learned?.let(estimate::inUse)?.takeIf { estimate.isInUse },
            estimate.failureShare,
            estimate.reason,
        )
    }

    fun toJson(): String = FORMAT.encodeToString(serializer(), this)

    companion object {
        private const val LARGEST_HOLDERS = 10
        private val FORMAT = Json { prettyPrint = true }

        fun accountsOf(
            levels: Map<ClientAccountName, AccountLevel>,
            admitted: Map<ClientAccountName, Long>,
        ): Map<String, AccountDump> =
            (levels.keys + admitted.keys).sorted().associate { name ->
                val level = levels[name]
                val state = level?.let { if (it.bound) "bound" else "open" }
                name.value to AccountDump(level?.units?.toLong(), state, admitted[name] ?: 0)
            }

        @Suppress("LongParameterList")
        fun of(
            node: String,
            configuration: RoutingConfiguration?,
            roster: InstanceRoster,
            fleet: FleetView,
            links: InstanceLinks,
            notices: InstanceNotices,
            lease: StoreLease,
            uptime: Duration,
            inProgress: Int,
            waiting: Int,
            nodes: Int,
            repetitionShare: Double,
            attribution: CrashAttribution,
            storeEra: StoreEra,
            unansweredOrders: List<RelayedOrder>,
            accounts: Map<String, AccountDump>,
            streamOrigins: StreamOrigins,
            originKeepers: OriginKeepers,
            heldBytes: HeldBytes,
            longestLoopDelay: Duration,
        ): RelayDump {
            val work = links.ownTotals()
            val paces = links.paces()
            return RelayDump(
                node = node,
                uptimeMilliseconds = uptime.inWholeMilliseconds,
                storeEra = storeEra.number,
                configurationVersion = configuration?.version?.number,
                holder = lease.holderRecord,
                fence = lease.fence?.value,
                mayOrder = lease.permitsOrders(),
                nodes = nodes,
                repetitionShare = repetitionShare,
                inProgress = inProgress,
                waiting = waiting,
                blockedSeconds =
                    attribution.blocked.entries.associate { (trait, left) -> "$trait" to left.inWholeSeconds },
                unansweredOrders = unansweredOrders,
                accounts = accounts,
                streamOrigins = streamOrigins.size,
                originKeepers = originKeepers.size,
                heldBytes = heldBytes.total,
                longestLoopDelayMilliseconds = longestLoopDelay.inWholeMilliseconds,
                largestHolders = heldBytes.largest(LARGEST_HOLDERS).associate { (holder, bytes) -> "$holder" to bytes },
                instances =
                    roster.instances
                        .map { (name, instance) ->
                            val models =
                                fleet.residentsOf(name).map { (model, adapters) ->
                                    model.value to adapters.map { it.value }
                                }
                            name.value to
                                InstanceDump(
                                    instance.service.value,
                                    instance.location.toString(),
                                    instance.softwareVersion.name,
                                    instance.leaving,
                                    models.toMap(),
                                    work[name],
                                    notices.restOf(instance)?.inWholeMilliseconds,
                                    notices.limitOf(instance.run),
                                    paces[name]?.let(::PaceDump),
                                )
                        }.toMap(),
            )
        }
    }
}
