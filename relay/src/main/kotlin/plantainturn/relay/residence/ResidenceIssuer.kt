package plantainturn.relay.residence

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentMap
import org.apache.logging.log4j.LogManager
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.roster.InstanceRoster
import plantainturn.process.control.lease.StoreLease
import plantainturn.process.control.residence.ModelPressure
import plantainturn.process.control.residence.ResidencePlanner
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.relay.request.AdapterDemand
import plantainturn.relay.request.InstanceNotices
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.route.RoutingSource
import kotlin.time.Duration

/**
 * Gives the orders that change what engines hold, while this node holds the lease.
 *
 * Each lease begins with empty ledgers, and each engine is asked what it holds before its first order. Confined to the
 * event loop.
 */
public class ResidenceIssuer(
    private val lease: StoreLease,
    holder: String,
    roster: InstanceRoster,
    routing: RoutingSource,
    control: EngineControl,
    timer: TimerService,
    loadWindow: Duration,
    notices: InstanceNotices,
    planner: ResidencePlanner = ResidencePlanner(),
) {
    private val context =
        IssuerContext(lease, holder, roster, routing, control, timer, loadWindow, planner, notices)
    private val logger = LogManager.getLogger("residence")
    private val pendingLoads = PendingAdapterLoads()
    private var session: IssuerSession? = null
    private var adapterLoader: AdapterLoader? = null

    /** Whether this node may sendOrder orders now. */
    public val isActive: Boolean
        get() = lease.permitsOrders()

    /** Grows whenever [residence] may have changed. */
    public val revision: Long
        get() = context.revision

    /**
     * Takes over what callers of all nodes want, by base model, and how much each adapter is used.
     *
     * @param departingRuns requests at engines that run models which are on their way out there
     */
    public fun onDemand(
        pressure: Map<ModelName, ModelPressure>,
        adapterUse: Map<Pair<ModelName, ModelName>, AdapterDemand>,
        departingRuns: Map<Pair<UpstreamName, ModelName>, Int>,
    ) {
        context.pressure = pressure
        context.adapterUse = adapterUse
        context.departingRuns = departingRuns
    }

    /** Takes over when loads from the weight store started lately, as the issuer told. */
    public fun onReportedLoads(startTimes: List<Moment>) {
        context.reportedLoads = startTimes
    }

    /** Returns when loads from the weight store started lately, as this node's orders or another issuer tell. */
    public fun recentLoads(): List<Moment> = session?.recentLoads() ?: context.reportedLoads.orEmpty()

    /** Looks at every engine and begins what is due. */
    public fun step() {
        val fence = lease.fence
        if (fence == null || !lease.permitsOrders()) {
            if (fence == null) session = null
            return
        }
        val current = session?.takeIf { it.fence == fence } ?: startSession(fence)
        current.step()
    }

    /** Returns what may be relied on at each engine: models that are not about to leave, with their adapterLoader. */
    public fun residence(): PersistentMap<UpstreamName, PersistentMap<ModelName, PersistentSet<ModelName>>> =
        session?.residence()
            ?: emptyMap<UpstreamName, PersistentMap<ModelName, PersistentSet<ModelName>>>().toPersistentMap()

    /** Returns when models that are on their way should be there. */
    public fun arrivals(): Map<ModelName, Duration> = session?.arrivals().orEmpty()

    /** Brings [adapter] to the first of [candidates] that can take it, and tells [done] which has it. */
    public fun wantAdapter(
        service: ServiceName,
        model: ModelName,
        adapter: ModelName,
        candidates: List<UpstreamName>,
        done: (UpstreamName?) -> Unit,
    ) {
        val fleet = context.fleetOf(service)
        val current = adapterLoader
        if (fleet == null || current == null || !lease.permitsOrders()) return done(null)
        if (pendingLoads.add(model, adapter, done)) current.load(fleet, model, adapter, candidates)
    }

    private fun startSession(fence: FenceNumber): IssuerSession {
        logger.info("event=issuing-begins fence={}", fence)
        val started = IssuerSession(fence, context) { session === it }
        session = started
        adapterLoader = AdapterLoader(context, started, pendingLoads) { session === started }
        return started
    }
}
