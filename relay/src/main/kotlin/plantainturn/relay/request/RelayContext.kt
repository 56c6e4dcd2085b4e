package plantainturn.relay.request

import plantainturn.process.time.TimerService
import plantainturn.request.relay.EngineDispatch
import plantainturn.request.relay.EngineTimeEstimator
import plantainturn.request.relay.RepetitionBudget
import plantainturn.request.relay.ServiceDispatch
import plantainturn.version.route.RoutingSource
import kotlin.random.Random

/** Dependencies that all requests of one node share. */
internal class RelayContext(
    val timer: TimerService,
    val routing: RoutingSource,
    val dialect: RelayDialect,
    val fleet: FleetView,
    val links: InstanceLinks,
    val peers: PeerAccess,
    val streamVersions: StreamVersions,
    val timeEstimator: EngineTimeEstimator,
    val repetitionBudget: RepetitionBudget,
    val crashes: CrashTracker,
    val demand: DemandMeter,
    val waiting: WaitingRequests,
    val accounts: AccountCheck,
    val metrics: RelayMetrics,
    val random: Random,
) {
    val currency: ConfigurationCurrency
        get() = accounts.currency

    val serviceDispatch: ServiceDispatch = ServiceDispatch()
    val engineDispatch: EngineDispatch = EngineDispatch(timeEstimator)
    val eventLog: RequestEventLog = RequestEventLog()
}
