package plantainturn.replay.world

import plantainturn.process.time.Moment
import plantainturn.process.time.VirtualTimerService
import plantainturn.replay.PolicyName
import plantainturn.replay.deployment.InitialPlacement
import plantainturn.replay.deployment.ReplayDeployment
import plantainturn.replay.engine.SimulatedEngine
import plantainturn.replay.engine.WeightStore
import plantainturn.replay.fault.FaultSchedule
import plantainturn.replay.measure.Measures
import plantainturn.replay.policy.CoreRouting
import plantainturn.replay.policy.FixedPlacement
import plantainturn.replay.policy.LeastLoadedRouting
import plantainturn.replay.policy.OnDemandPlacement
import plantainturn.replay.policy.PlacementPolicy
import plantainturn.replay.policy.PlannedPlacement
import plantainturn.replay.policy.RoutingPolicy
import plantainturn.replay.trace.TraceRecord
import plantainturn.request.RequestPriority
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamKind
import plantainturn.version.placement.DemandPlanner
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Engines, nodes and faults in virtual time, under one policy.
 *
 * @property everythingEverywhere whether each engine holds every model, whatever the memory: a bound on what placement
 *   can gain
 */
internal class ReplayWorld(
    private val deployment: ReplayDeployment,
    policy: PolicyName,
    schedule: FaultSchedule,
    private val random: Random,
    private val everythingEverywhere: Boolean = false,
) {
    private val configuration = deployment.configuration
    private val timer = VirtualTimerService()
    private val initial = InitialPlacement.of(configuration)
    private val demand = DemandMeter()
    private val store = WeightStore(configuration.weightStore, deployment.profile, timer, Random(random.nextLong()))

    /** What is counted. */
    val measures: Measures = Measures(timer)
    private val engines = engines()
    private val upstreams = Upstreams(engines, deployment.profile, timer)
    private val desk =
        OrderDesk(
            configuration,
            upstreams,
            deployment.profile,
            timer,
            Random(random.nextLong()),
            schedule.lostOrderShare,
        )
    private val services =
        ServiceCalls(
            timer,
            measures,
            Random(random.nextLong()),
            claims = policy == PolicyName.PLANTAINTURN,
            lostAnswerShare = schedule.lostAnswerShare,
        )
    private val dispatcher = Dispatcher(deployment, timer, measures)
    private val reachability = Reachability(configuration, initial, engines, measures)
    private val placement: PlacementPolicy = placement(policy)

    init {
        dispatcher.routing = routing(policy)
        val injector = FaultInjector(upstreams, desk, services, timer)
        schedule.faults.forEach(injector::schedule)
    }

    /** Replays [records] and lets what runs at the end of the trace come to its end. */
    fun run(records: List<TraceRecord>) {
        upstreams.start()
        timer.subscribe(RoutingPolicy.TICK_MILLISECONDS.milliseconds) { dispatcher.routing.tick() }
        timer.subscribe(1.seconds, ::everySecond)
        records.forEach { record ->
            timer.advanceTo(Moment.ORIGIN + record.atMilliseconds.milliseconds)
            arrive(record)
        }
        timer.advance(RUN_OUT)
    }

    private fun everySecond() {
        reachability.tick()
        demand.tick()
        placement.tick()
    }

    private fun arrive(record: TraceRecord) {
        when (record) {
            is TraceRecord.Service -> services.call(record.key)
            is TraceRecord.Completion -> arrive(record)
        }
    }

    private fun arrive(record: TraceRecord.Completion) {
        val baseModel = configuration.adapters[record.target]?.baseModel ?: record.target
        if (record.priority == RequestPriority.INTERACTIVE) {
            demand.arrived(record.target)
            demand.answered(record.target, record.answerTokens)
        }
        dispatcher.arrive(requestRun(record, baseModel))
    }

    private fun requestRun(
        record: TraceRecord.Completion,
        baseModel: ModelName,
    ): RequestRun {
        val model = configuration.models.getValue(baseModel)
        val tokenTarget = (record.tokenMilliseconds ?: model.tokenMilliseconds).milliseconds
        return RequestRun(
            record = record,
            node = random.nextInt(deployment.nodes),
            baseModel = baseModel,
            arrivedAt = timer.now() - deployment.toClients,
            firstTokenTarget = (record.firstTokenMilliseconds ?: model.firstTokenMilliseconds).milliseconds,
            tokenTargetSeconds = tokenTarget.toDouble(DurationUnit.SECONDS),
        )
    }

    private fun engines(): List<SimulatedEngine> =
        configuration.upstreams.entries
            .filter { it.value.kind == UpstreamKind.ENGINE }
            .sortedBy { it.key }
            .map { (name, specification) ->
                SimulatedEngine(name, specification, deployment.profile, timer, store, measures).also(::placeInitially)
            }

    private fun placeInitially(engine: SimulatedEngine) {
        val models = if (everythingEverywhere) configuration.models.keys else initial.models.getValue(engine.name)
        models.forEach { model ->
            engine.place(model, configuration.models.getValue(model).memoryMegabytes, null)
            configuration.adapters
                .filterValues { it.baseModel == model }
                .forEach { (name, adapter) -> engine.place(name, adapter.memoryMegabytes, model) }
        }
    }

    private fun placement(policy: PolicyName): PlacementPolicy =
        when (policy) {
            PolicyName.PLANTAINTURN -> {
                if (everythingEverywhere) return PlacementPolicy { }
                val planner = DemandPlanner(deployment.planner)
                PlannedPlacement(planner, configuration, upstreams, desk, demand, timer)
            }

            PolicyName.NAIVE -> OnDemandPlacement(configuration, upstreams, desk, timer)

            PolicyName.STATIC -> FixedPlacement(configuration, initial, upstreams, desk, timer)
        }

    private fun routing(policy: PolicyName): RoutingPolicy {
        val choices = Random(random.nextLong())
        return when (policy) {
            PolicyName.PLANTAINTURN ->
                CoreRouting(configuration, deployment.nodes, dispatcher, upstreams, timer, choices)

            PolicyName.NAIVE -> {
                val listener = placement as OnDemandPlacement
                LeastLoadedRouting(dispatcher, upstreams, timer, choices, listener)
            }

            PolicyName.STATIC -> LeastLoadedRouting(dispatcher, upstreams, timer, choices, listener = null)
        }
    }

    private companion object {
        val RUN_OUT: Duration = 2.minutes
    }
}
