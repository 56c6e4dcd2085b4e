package plantainturn.relay.residence

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
import plantainturn.version.route.EngineFleet
import plantainturn.version.route.RoutingSource
import kotlin.time.Duration

/** What the issuer of orders works with, and what it has been told. */
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
    /** What callers of all nodes want, by base model. */
    var pressure: Map<ModelName, ModelPressure> = emptyMap()

    /** How much each adapter is used at all nodes, by model and adapter. */
    var adapterUse: Map<Pair<ModelName, ModelName>, AdapterDemand> = emptyMap()

    /** Requests at engines that run models which are on their way out there, of all nodes. */
    var departingRuns: Map<Pair<UpstreamName, ModelName>, Int> = emptyMap()

    /** When loads from the weight store began that another issuer told of, null if none did. */
    var reportedLoads: List<Moment>? = null

    /** Grows whenever residence may have changed. */
    var revision: Long = 0
        private set

    /** Notes that residence may have changed. */
    fun onResidenceChanged() {
        revision++
    }

    /** Returns what the engines of [service] share, null if it has none. */
    fun fleetOf(service: ServiceName): EngineFleet? =
        routing.current
            ?.services
            ?.get(service)
            ?.engines
}
