package plantainturn.relay.residence

import plantainturn.connection.roster.InstanceRoster
import plantainturn.process.control.lease.StoreLease
import plantainturn.process.control.residence.ModelPressure
import plantainturn.process.control.residence.ResidencePlanner
import plantainturn.process.control.residence.UnansweredOrders
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.relay.request.AdapterDemand
import plantainturn.relay.request.InstanceNotices
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.route.EngineFleet
import plantainturn.version.route.RoutingSource
import kotlin.time.Duration

/** Holds the collaborators of the issuer and the state that other nodes report to it. */
internal class IssuerContext(
    val lease: StoreLease,
    val holder: String,
    val roster: InstanceRoster,
    private val routing: RoutingSource,
    val control: EngineControl,
    val timer: TimerService,
    val loadWindow: Duration,
    val planner: ResidencePlanner,
    val notices: InstanceNotices,
) {
    /** The demand of the callers of all nodes, by base model. */
    var pressure: Map<ModelName, ModelPressure> = emptyMap()

    /** The use of each adapter at all nodes, by base model and adapter. */
    var adapterUse: Map<Pair<ModelName, ModelName>, AdapterDemand> = emptyMap()

    /** Running requests of all nodes for models that are about to be unloaded, by engine and model. */
    var departingRuns: Map<Pair<UpstreamName, ModelName>, Int> = emptyMap()

    /** The orders of this node and of earlier issuers that may still be executed. */
    val unansweredOrders = UnansweredOrders()

    /** When loads from the weight store started, as another issuer reported them; null if none reported. */
    var reportedLoads: List<Moment>? = null

    /** Increases whenever residence may have changed. */
    var revision: Long = 0
        private set

    /** Records that residence may have changed. */
    fun onResidenceChanged() {
        revision++
    }

    /** Returns the settings that the engines of [service] share, null if it has no engines. */
    fun fleetOf(service: ServiceName): EngineFleet? =
        routing.current
            ?.services
            ?.get(service)
            ?.engines
}
