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
import plantainturn.process.control.residence.UnansweredOrder
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
 * Issues the orders that change what engines hold, while this node holds the lease.
 *
 * Each lease starts with empty ledgers, and each engine is read before its first order. Orders without an answer are
 * remembered across leases. Confined to the event loop.
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

    /** Whether this node may issue orders now. */
    public val isActive: Boolean
        get() = lease.permitsOrders()

    /** Increases whenever [residence] may have changed. */
    public val revision: Long
        get() = context.revision

    /**
     * Replaces the demand of the callers of all nodes, by base model, and the use of each adapter.
     *
     * @param departingRuns running requests for models that are about to be unloaded, by engine and model
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

    /** Replaces the start times of recent loads from the weight store, as the issuer reported them. */
    public fun onReportedLoads(startTimes: List<Moment>) {
        context.reportedLoads = startTimes
    }

    /**
     * Returns the start times of recent loads from the weight store: those known to the current session, or else those
     * that another issuer reported.
     */
    public fun recentLoads(): List<Moment> = session?.recentLoads() ?: context.reportedLoads.orEmpty()

    /** Replaces the orders that may still be executed by what [source], the session of an issuer or a node, knows. */
    public fun onReportedOrders(
        source: String,
        orders: List<UnansweredOrder>,
    ): Unit = context.unansweredOrders.onReport(source, orders)

    /**
     * Returns the orders of this node and of other issuers that may still be executed, without those that only
     * [except] has reported.
     */
    public fun unansweredOrders(except: String? = null): List<UnansweredOrder> =
        context.unansweredOrders.all(context.timer.now(), except)

    /** Updates the state of every engine and starts the reads and orders that are due. */
    public fun step() {
        val fence = lease.fence
        if (fence == null || !lease.permitsOrders()) {
            if (fence == null) session = null
            return
        }
        val current = session?.takeIf { it.fence == fence } ?: startSession(fence)
        current.step()
    }

    /** Returns the models at each engine that are not about to be unloaded, with their adapters. */
    public fun residence(): PersistentMap<UpstreamName, PersistentMap<ModelName, PersistentSet<ModelName>>> =
        session?.residence()
            ?: emptyMap<UpstreamName, PersistentMap<ModelName, PersistentSet<ModelName>>>().toPersistentMap()

    /** Returns the time until models that are to be loaded should be resident. */
    public fun arrivals(): Map<ModelName, Duration> = session?.arrivals().orEmpty()

    /**
     * Loads [adapter] on one of [candidates], preferring the earlier ones, and passes the engine that holds it to
     * [done], null if none could load it.
     */
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
