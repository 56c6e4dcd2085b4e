package plantainturn.process.control.controller

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import plantainturn.connection.engine.EngineOrder
import plantainturn.connection.upstream.UpstreamDirectory
import plantainturn.process.control.controller.internal.ControlSession
import plantainturn.process.control.controller.internal.LoadBudget
import plantainturn.process.control.controller.internal.SerialWorker
import plantainturn.process.control.controller.internal.UpstreamIssuer
import plantainturn.process.control.controller.internal.VersionUpgrade
import plantainturn.process.control.controller.internal.actionFor
import plantainturn.process.control.lease.IntendedOrder
import plantainturn.process.control.lease.LeaseKeeper
import plantainturn.process.control.ledger.MemoryLedger
import plantainturn.process.control.ledger.ReservationResult
import plantainturn.process.control.ledger.toPlannedUpstream
import plantainturn.process.time.TimerService
import plantainturn.process.time.TimerSubscription
import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.ConfigurationSource
import plantainturn.version.configuration.UpstreamKind
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification
import plantainturn.version.placement.DemandSource
import plantainturn.version.placement.PlacementMove
import plantainturn.version.placement.PlacementPlan
import plantainturn.version.placement.PlannedUpstream
import plantainturn.version.placement.Planner
import plantainturn.version.placement.PlanningInput
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executor

/**
 * Issues the orders of one shard while this node holds its lease, and contends for the lease otherwise.
 *
 * Each round reads the reports of the shard's engines, calls the planner and issues the moves that the ledger and the
 * weight store's limits admit. The log and each engine have separate workers, so a call that hangs does not delay the
 * others. An order to an upstream that does not refuse old fences is announced on the log before it is sent.
 *
 * @param executor runs the blocking calls; it should have a thread for each engine that may hang at the same time
 */
public class Controller(
    private val keeper: LeaseKeeper,
    private val configuration: ConfigurationSource,
    private val upstreams: UpstreamDirectory,
    private val engines: EngineDirectory,
    private val planner: Planner,
    private val demand: DemandSource,
    private val timer: TimerService,
    private val executor: Executor,
    private val shard: ShardSelector = ShardSelector.ALL,
    private val settings: ControllerSettings = ControllerSettings(),
) {
    private val logWorker = SerialWorker(executor)
    private val roundWorker = SerialWorker(executor)
    private val workers = ConcurrentHashMap<UpstreamName, SerialWorker>()
    private var subscription: TimerSubscription? = null

    @Volatile
    private var session: ControlSession? = null

    @Volatile
    private var plan: PlacementPlan? = null

    @Volatile
    private var deferred = persistentListOf<DeferredMove>()

    @Volatile
    private var stopping = false

    /** Starts running a round every [ControllerSettings.tickPeriod]. */
    public fun start() {
        subscription = timer.subscribe(settings.tickPeriod, ::tick)
    }

    /** Starts a step of the lease and a round now, each unless the previous one is still running or waiting. */
    public fun tick() {
        logWorker.submitIfIdle(::stepLease)
        roundWorker.submitIfIdle(::round)
    }

    /** Stops issuing orders, releases the lease and then calls [released]. */
    public fun stop(released: () -> Unit = {}) {
        stopping = true
        subscription?.cancel()
        session = null
        logWorker.submit {
            keeper.release()
            released()
        }
    }

    /** Returns the state that `dump` shows. */
    public fun state(): ControllerState {
        val lease = keeper.lease
        val held = session?.takeIf { it.lease.fence == lease?.fence }
        return ControllerState(
            fence = lease?.fence,
            termMilliseconds = lease?.let { (it.validUntil - timer.now()).inWholeMilliseconds },
            status = keeper.status,
            control = keeper.state,
            ledgers = held?.ledger?.views() ?: persistentListOf(),
            plan = plan.takeIf { held != null },
            deferred = if (held == null) persistentListOf() else deferred,
        )
    }

    private fun stepLease() {
        keeper.step()
        val current = session ?: return
        val lease = keeper.lease?.takeIf { it.fence == current.ledger.fence } ?: return
        val ended =
            keeper.state.intents
                .filter { hasEnded(it, current) }
                .map { it.order.identifier }
        if (ended.isNotEmpty()) keeper.recordOutcome(lease, ended)
    }

    /** Returns whether the order can no longer take effect: the ledger of its upstream no longer holds it. */
    private fun hasEnded(
        intended: IntendedOrder,
        current: ControlSession,
    ): Boolean {
        val ledger = current.ledger.get(intended.upstream)
        if (ledger != null) return intended.order.identifier !in ledger.orders
        return timer.now() > current.lease.grantedAt + settings.orderDelayBound
    }

    private fun round() {
        if (stopping) return
        val current = currentSession() ?: return
        val currentConfiguration = configuration.current?.configuration ?: return
        val shardEngines = shardEngines(currentConfiguration)
        for ((upstream, specification) in shardEngines) {
            openLedger(current, upstream, specification)
            val issuer = issuer(current, upstream, specification)
            worker(upstream).submitIfIdle(issuer::exchange)
        }
        issueMoves(current, currentConfiguration, shardEngines)
    }

    private fun currentSession(): ControlSession? {
        val lease = keeper.lease
        val current = session
        if (current != null && current.ledger.fence == lease?.fence) return current
        session =
            lease?.let {
                ControlSession(
                    lease = it,
                    ledger = MemoryLedger(it.fence, settings.orderDelayBound),
                    budget = LoadBudget(settings.weightStoreShare),
                )
            }
        return session
    }

    private fun shardEngines(currentConfiguration: Configuration): Map<UpstreamName, UpstreamSpecification> =
        currentConfiguration.upstreams.filterValues { it.kind == UpstreamKind.ENGINE && shard.includes(it) }

    private fun openLedger(
        current: ControlSession,
        upstream: UpstreamName,
        specification: UpstreamSpecification,
    ) {
        if (current.ledger.get(upstream) != null) {
            current.ledger.resize(upstream, specification)
            return
        }
        val inherited = keeper.state.intents.filter { it.upstream == upstream && isEarlier(it, current) }
        current.ledger.open(upstream, specification, timer.now(), inherited)
    }

    private fun isEarlier(
        intended: IntendedOrder,
        current: ControlSession,
    ): Boolean = intended.order.identifier.fence < current.ledger.fence

    private fun issueMoves(
        current: ControlSession,
        currentConfiguration: Configuration,
        shardEngines: Map<UpstreamName, UpstreamSpecification>,
    ) {
        val input = planningInput(current, currentConfiguration, shardEngines)
        val wanted = planner.plan(input)
        val upgrades = VersionUpgrade(currentConfiguration, input.upstreams, current.ledger::get).moves(wanted.moves)
        val next = wanted.copy(moves = wanted.moves.addAll(upgrades))
        plan = next
        current.budget.refill(currentConfiguration.weightStore, timer.now())
        val refused = mutableListOf<DeferredMove>()
        val toAnnounce = mutableListOf<IntendedOrder>()
        for (move in next.moves.sortedBy { !isEmergency(it) }) {
            when (val result = reserve(current, move, currentConfiguration, input)) {
                is MoveResult.Deferred -> refused += DeferredMove(move, result.cause)
                is MoveResult.Issue -> dispatch(current, move.upstream, result.order, shardEngines, toAnnounce)
            }
        }
        deferred = refused.toPersistentList()
        if (toAnnounce.isNotEmpty()) logWorker.submit { announceAndSend(current, toAnnounce, shardEngines) }
    }

    private fun planningInput(
        current: ControlSession,
        currentConfiguration: Configuration,
        shardEngines: Map<UpstreamName, UpstreamSpecification>,
    ): PlanningInput {
        val views = upstreams.views()
        val planned =
            shardEngines.mapNotNull { (upstream, specification) ->
                val ledger = current.ledger.get(upstream) ?: return@mapNotNull null
                val fresh = timer.now() - ledger.reportedAt <= settings.reportStaleness
                val leaving = views[upstream]?.leaving ?: false
                val permitted = keeper.permits(ledger.fence, ledger.refusesOldFences)
                upstream to
                    ledger.toPlannedUpstream(specification, usable = fresh && !leaving, acceptsOrders = permitted)
            }
        return PlanningInput(timer.now(), currentConfiguration, planned.toMap().toPersistentMap(), demand.demand())
    }

    private fun deferralCause(upstream: PlannedUpstream?): String? =
        when {
            upstream?.usable != true -> "UPSTREAM_NOT_USABLE"
            !upstream.acceptsOrders -> "ORDERS_NOT_PERMITTED"
            else -> null
        }

    private fun reserve(
        current: ControlSession,
        move: PlacementMove,
        currentConfiguration: Configuration,
        input: PlanningInput,
    ): MoveResult {
        deferralCause(input.upstreams[move.upstream])?.let { return MoveResult.Deferred(it) }
        val action = actionFor(move, currentConfiguration) ?: return MoveResult.Deferred("NOT_CONFIGURED")
        if (!current.budget.admits(action, isEmergency(move), current.ledger, currentConfiguration.weightStore)) {
            return MoveResult.Deferred("WEIGHT_STORE_LIMIT")
        }
        return when (val result = current.ledger.reserve(move.upstream, action)) {
            is ReservationResult.Reserved -> MoveResult.Issue(result.order)
            is ReservationResult.Refused -> {
                current.budget.refund(action)
                MoveResult.Deferred(result.refusal.name)
            }
        }
    }

    private fun dispatch(
        current: ControlSession,
        upstream: UpstreamName,
        order: EngineOrder,
        shardEngines: Map<UpstreamName, UpstreamSpecification>,
        toAnnounce: MutableList<IntendedOrder>,
    ) {
        val specification = shardEngines.getValue(upstream)
        if (current.ledger.get(upstream)?.refusesOldFences == true) {
            val issuer = issuer(current, upstream, specification)
            worker(upstream).submit { issuer.send(order) }
        } else {
            toAnnounce += IntendedOrder(upstream, order)
        }
    }

    private fun announceAndSend(
        current: ControlSession,
        orders: List<IntendedOrder>,
        shardEngines: Map<UpstreamName, UpstreamSpecification>,
    ) {
        val lease = keeper.lease?.takeIf { it.fence == current.ledger.fence }
        val announced = lease != null && keeper.announce(lease, orders)
        for (intended in orders) {
            if (announced) {
                val issuer = issuer(current, intended.upstream, shardEngines.getValue(intended.upstream))
                worker(intended.upstream).submit { issuer.send(intended.order) }
            } else {
                current.ledger.withdraw(intended.upstream, intended.order.identifier)
            }
        }
    }

    private fun issuer(
        current: ControlSession,
        upstream: UpstreamName,
        specification: UpstreamSpecification,
    ): UpstreamIssuer {
        val engine = engines.engine(upstream, specification)
        return UpstreamIssuer(upstream, engine, current, keeper, timer, settings)
    }

    private fun worker(upstream: UpstreamName): SerialWorker =
        workers.computeIfAbsent(upstream) { SerialWorker(executor) }

    private fun isEmergency(move: PlacementMove): Boolean = move is PlacementMove.Load && move.emergency

    private sealed interface MoveResult {
        data class Issue(
            val order: EngineOrder,
        ) : MoveResult

        data class Deferred(
            val cause: String,
        ) : MoveResult
    }
}
