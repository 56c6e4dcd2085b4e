package plantainturn.relay.request

import plantainturn.process.time.TimerService
import plantainturn.relay.loop.LoopWork
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
    val residence: ResidenceClient,
    val streamVersions: StreamVersions,
    val timeEstimator: EngineTimeEstimator,
    val repetitionBudget: RepetitionBudget,
    val crashes: CrashTracker,
    val demand: DemandMeter,
    val waiting: WaitingRequests,
    val currency: ConfigurationCurrency,
    val accounts: AccountCheck,
    val quota: QuotaAdmission,
    val metrics: RelayMetrics,
    val work: LoopWork,
    val random: Random,
) {
    val serviceDispatch: ServiceDispatch = ServiceDispatch()
    val engineDispatch: EngineDispatch = EngineDispatch(timeEstimator)
    val eventLog: RequestEventLog = RequestEventLog()
}
