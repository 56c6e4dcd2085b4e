package plantainturn.relay.residence

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.apache.logging.log4j.LogManager
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.control.residence.EngineLedger
import plantainturn.process.control.residence.EngineSnapshot
import plantainturn.process.control.residence.ResidenceAction
import plantainturn.process.control.residence.ResidenceInput
import plantainturn.process.control.residence.ResidenceMove
import plantainturn.process.control.residence.SequencedOrderResult
import plantainturn.process.time.Moment
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.route.EngineFleet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Issues the orders of one lease, from its grant to its loss.
 *
 * @param isCurrent returns whether this session is still the current one; answers that arrive later are dropped
 */
internal class IssuerSession(
    val fence: FenceNumber,
    private val context: IssuerContext,
    private val isCurrent: (IssuerSession) -> Boolean,
) {
    private val logger = LogManager.getLogger("residence")
    private val sessionStartedAt = context.timer.now()
    private var plannedAt: Moment? = null

    /** The assumed state of each engine. */
    val ledgers = HashMap<UpstreamName, EngineLedger>()
    private val engineStartTimes = HashMap<UpstreamName, Long?>()

    /** The times of reads and the engines that do not answer. */
    val readSchedule = EngineReadSchedule(context.timer)
    private val tasks = HashMap<UpstreamName, EngineTask>()
    private val residentSince = HashMap<UpstreamName, MutableMap<ModelName, Moment>>()
    private val loadLimiter =
        StoreLoadLimiter(
            context.loadWindow,
            sessionStartedAt,
            previousLoads = context.reportedLoads ?: emptyList<Moment>().takeIf { fence.value == 0L },
        )

    fun step() {
        val engines =
            context.roster.instances.values
                .filter { context.fleetOf(it.service) != null }
        removeMissingEngines(engines)
        engines.forEach(::update)
        if (plannedAt?.let { context.timer.now() - it < PLANNING_PERIOD } == true) return
        plannedAt = context.timer.now()
        engines.groupBy { it.service }.forEach { (service, ofService) ->
            context.fleetOf(service)?.let { plan(it, ofService) }
        }
    }

    /** Returns the start times of recent loads from the weight store. */
    fun recentLoads(): List<Moment> = loadLimiter.recentLoads(context.timer.now())

    fun residence(): PersistentMap<UpstreamName, PersistentMap<ModelName, PersistentSet<ModelName>>> =
        ledgers
            .filterValues { it.readAt != null }
            .mapValues { (engine, ledger) ->
                departingModels(engine, ledger).fold(ledger.residents) { present, model -> present.remove(model) }
            }.toPersistentMap()

    fun arrivals(): Map<ModelName, Duration> {
        val now = context.timer.now()
        val arriving = HashMap<ModelName, Duration>()
        for ((name, task) in tasks) {
            val fleet = context.roster.instances[name]?.let { context.fleetOf(it.service) }
            val model = task.wanted
            if (fleet != null && model != null) {
                val load = loadTime(fleet, name, model)
                val remaining =
                    when (task.phase) {
                        EngineTask.Phase.LOADING -> (load - (now - task.since)).coerceAtLeast(OVERDUE_LOAD_TIME)
                        else -> load + UNLOAD_TIME
                    }
                arriving.merge(model, remaining, ::minOf)
            }
        }
        return arriving
    }

    private fun removeMissingEngines(engines: List<UpstreamInstance>) {
        val present = engines.map { it.name }.toSet()
        (ledgers.keys - present).forEach {
            ledgers.remove(it)
            tasks.remove(it)
            engineStartTimes.remove(it)
            readSchedule.forget(it)
            residentSince.remove(it)
            context.onResidenceChanged()
        }
    }

    private fun update(engine: UpstreamInstance) {
        val now = context.timer.now()
        val ledger = ledgers.getOrPut(engine.name) { EngineLedger(engine.name, context.unansweredOrders) }
        val isNew = engine.name !in engineStartTimes
        val hasRestarted = !isNew && engineStartTimes[engine.name] != engine.startedAt
        val late = if (isNew || hasRestarted) context.unansweredOrders.at(engine.name, now) else emptyList()
        if (isNew && late.isNotEmpty()) {
            logger.info("engine={} event=appeared startedAt={} unanswered={}", engine.name, engine.startedAt, late)
        }
        if (hasRestarted) {
            logger.info("engine={} event=restarted startedAt={} unanswered={}", engine.name, engine.startedAt, late)
            ledger.onRestart()
            tasks.remove(engine.name)
            context.onResidenceChanged()
        }
        engineStartTimes[engine.name] = engine.startedAt
        if (isReadingDue(engine.name, ledger) && context.notices.restOf(engine) == null) readEngine(engine, ledger)
        advance(engine, ledger)
    }

    private fun isReadingDue(
        engine: UpstreamName,
        ledger: EngineLedger,
    ): Boolean {
        if (ledger.orderInFlight || !readSchedule.mayRead(engine)) return false
        val ordered = ledger.orderedAt
        val done = ordered != null && context.timer.now() >= ordered + expectedDuration(engine, ledger)
        return ledger.needsReading || ledger.isBusyWithUnknownOrder || ledger.isChanging && done
    }

    private fun expectedDuration(
        engine: UpstreamName,
        ledger: EngineLedger,
    ): Duration {
        val fleet = context.roster.instances[engine]?.let { context.fleetOf(it.service) } ?: return Duration.ZERO
        val loading = ledger.loading ?: return UNLOAD_TIME
        return loadTime(fleet, engine, loading) + READING_LAG
    }

    private fun readEngine(
        engine: UpstreamInstance,
        ledger: EngineLedger,
    ) {
        val now = context.timer.now()
        readSchedule.onReadStarted(engine.name)
        context.control.read(engine) { reading, notice ->
            context.notices.onNotice(engine, notice)
            if (!isCurrent(this)) return@read
            if (reading == null) {
                val times = readSchedule.onFailure(engine.name)
                logger.info("engine={} event=reading-failed times={}", engine.name, times)
                return@read
            }
            readSchedule.onAnswer(engine.name)
            val before = ledger.residents.keys
            ledger.onReading(reading, now)
            logger.info(
                "engine={} event=reading sequence={} known={} busy={} loading={} unloading={} settled={}",
                engine.name,
                reading.sequence,
                ledger.sequence,
                reading.busy,
                ledger.loading,
                ledger.unloading,
                !ledger.needsReading,
            )
            recordResidence(engine.name, before, ledger.residents.keys)
            context.onResidenceChanged()
        }
    }

    private fun recordResidence(
        engine: UpstreamName,
        before: Set<ModelName>,
        after: Set<ModelName>,
    ) {
        val since = residentSince.getOrPut(engine) { HashMap() }
        since.keys.retainAll(after)
        if (before.isNotEmpty()) (after - before).forEach { since[it] = context.timer.now() }
        if (before != after) {
            val ledger = ledgers.getValue(engine)
            logger.info(
                "engine={} event=residence models={} host={} disk={}",
                engine,
                after,
                ledger.hostCopies,
                ledger.diskCopies,
            )
        }
    }

    /** Advances the task at [engine] as far as possible. */
    private fun advance(
        engine: UpstreamInstance,
        ledger: EngineLedger,
    ) {
        val task = tasks[engine.name] ?: return
        val fleet = context.fleetOf(engine.service) ?: return
        val now = context.timer.now()
        if (engine.leaving) {
            tasks.remove(engine.name)
            return
        }
        when (task.phase) {
            EngineTask.Phase.DEPARTING ->
                if (mayUnload(engine.name, task, now)) unload(fleet, engine.name, ledger, task)
            EngineTask.Phase.UNLOADING ->
                if (!ledger.isChanging && !ledger.needsReading) {
                    val gone = task.victim !in ledger.residents
                    tasks[engine.name] =
                        if (gone) task.afterUnload(now) else task.copy(phase = EngineTask.Phase.DEPARTING, since = now)
                    if (gone && task.wanted == null) tasks.remove(engine.name)
                }
            EngineTask.Phase.LOADING -> load(fleet, engine.name, ledger, task)
        }
    }

    /**
     * Returns whether the victim of [task] may be unloaded: no requests run it after [MINIMUM_DEPARTURE_TIME], or
     * [DEPARTURE_TIMEOUT] has passed. An engine that is ordered to unload a model waits for the requests that run it,
     * and loads no adapters meanwhile.
     */
    private fun mayUnload(
        engine: UpstreamName,
        task: EngineTask,
        now: Moment,
    ): Boolean {
        val runs = task.victim?.let { context.departingRuns[engine to it] } ?: 0
        return now - task.since >= if (runs == 0) MINIMUM_DEPARTURE_TIME else DEPARTURE_TIMEOUT
    }

    private fun unload(
        fleet: EngineFleet,
        engine: UpstreamName,
        ledger: EngineLedger,
        task: EngineTask,
    ) {
        val victim = task.victim
        if (victim == null || victim !in ledger.residents) {
            tasks[engine] = task.afterUnload(context.timer.now())
            return
        }
        sendOrder(fleet, engine, ResidenceAction(ResidenceAction.Kind.UNLOAD, victim), task.reason) { accepted ->
            if (accepted) tasks[engine] = task.copy(phase = EngineTask.Phase.UNLOADING, since = context.timer.now())
        }
    }

    private fun load(
        fleet: EngineFleet,
        engine: UpstreamName,
        ledger: EngineLedger,
        task: EngineTask,
    ) {
        val wanted = task.wanted
        when {
            wanted == null || wanted in ledger.residents -> tasks.remove(engine)
            ledger.loading == wanted || ledger.needsReading || ledger.orderInFlight -> Unit
            context.timer.now() - task.since > TASK_TIMEOUT -> tasks.remove(engine)
            !ledger.hasRoomFor(wanted, fleet, context.timer.now()) -> {
                logger.info("engine={} event=task-abandoned task={} reason=\"no room\"", engine, task)
                tasks.remove(engine)
                context.onResidenceChanged()
            }
            else -> {
                val now = context.timer.now()
                val fromStore = isFromStore(engine, wanted)
                if (fromStore && loadLimiter.remainingLoads(fleet.storeLoadsPerSecond, now) <= 0) return
                val order = ResidenceAction(ResidenceAction.Kind.LOAD, wanted)
                val sent =
                    sendOrder(fleet, engine, order, task.reason) { accepted ->
                        if (accepted) tasks[engine] = task.copy(since = context.timer.now())
                    }
                if (sent && fromStore) loadLimiter.onLoad(now)
            }
        }
    }

    /**
     * Sends an order if the ledger permits it, and returns whether it was sent. [done] receives whether the engine
     * accepted it or already held what was ordered.
     */
    fun sendOrder(
        fleet: EngineFleet,
        engine: UpstreamName,
        action: ResidenceAction,
        reason: String,
        done: (Boolean) -> Unit,
    ): Boolean {
        val ledger = ledgers[engine]
        val instance = context.roster.instances[engine]
        val now = context.timer.now()
        val order =
            if (instance == null || !mayOrder() || context.notices.restOf(instance) != null) {
                null
            } else {
                ledger?.prepare(action, fleet, fence, now)
            }
        if (order == null || ledger == null || instance == null) {
            done(false)
            return false
        }
        context.control.order(instance, order, context.holder) { result, notice ->
            context.notices.onNotice(instance, notice)
            logger.info(
                "engine={} event=order action={} model={} adapter={} expected={} fence={} reason=\"{}\" result={}",
                engine,
                action.kind,
                action.model,
                action.adapter,
                order.expectedSequence,
                fence,
                reason,
                result,
            )
            ledger.onResult(order, result, now)
            val loadsModel = action.kind == ResidenceAction.Kind.LOAD && action.adapter == null
            if (loadsModel && result is SequencedOrderResult.Unknown) loadLimiter.onUncertainLoad(now)
            if (result is SequencedOrderResult.StaleFence) {
                context.lease.observeLaterFence(result.seen ?: FenceNumber(Long.MAX_VALUE))
            }
            context.onResidenceChanged()
            done(result == SequencedOrderResult.Accepted || result == SequencedOrderResult.AlreadyHolds)
        }
        return true
    }

    /** Returns whether the lease permits orders, and not already those of the next session, under a later fence. */
    private fun mayOrder(): Boolean = context.lease.permitsOrders() && context.lease.fence == fence

    private fun plan(
        fleet: EngineFleet,
        engines: List<UpstreamInstance>,
    ) {
        val unread = engines.filter { ledgers[it.name]?.readAt == null }
        if (
            unread.any { readSchedule.isResponsive(it.name) } &&
            context.timer.now() - sessionStartedAt < FIRST_READINGS_TIMEOUT
        ) {
            return
        }
        val now = context.timer.now()
        val input =
            ResidenceInput(
                fleet = fleet,
                engines = engines.map { snapshotOf(it, fleet, now) },
                pressure = context.pressure,
                storeLoadsLeft = loadLimiter.remainingLoads(fleet.storeLoadsPerSecond, now) - plannedStoreLoads(),
                now = now,
            )
        context.planner.plan(input).forEach { startTask(it, now) }
    }

    /** Returns the number of loads from the weight store that are planned but not ordered yet. */
    private fun plannedStoreLoads(): Int =
        tasks.count { (engine, task) ->
            val wanted = task.wanted
            wanted != null && ledgers[engine]?.loading != wanted && isFromStore(engine, wanted)
        }

    private fun startTask(
        move: ResidenceMove,
        now: Moment,
    ) {
        val action = move.action
        val task =
            if (action.kind == ResidenceAction.Kind.LOAD) {
                EngineTask(action.model, null, EngineTask.Phase.LOADING, now, move.reason)
            } else {
                val phase = EngineTask.Phase.DEPARTING
                EngineTask(move.wanted, action.model, phase, now, move.reason, move.furtherVictims)
            }
        logger.info("engine={} event=task task={} pressure={}", move.engine, task, context.pressure[task.wanted])
        tasks[move.engine] = task
        context.onResidenceChanged()
    }

    private fun snapshotOf(
        engine: UpstreamInstance,
        fleet: EngineFleet,
        now: Moment,
    ): EngineSnapshot {
        val ledger = ledgers.getValue(engine.name)
        val read = ledger.readAt != null
        val task = tasks[engine.name]
        return EngineSnapshot(
            name = engine.name,
            residents = (if (read) ledger.residents.keys else engine.residents.keys).toPersistentSet(),
            loading = ledger.loading ?: task?.wanted,
            unloading = departingModels(engine.name, ledger),
            committedMegabytes = ledger.committedMegabytes(fleet, now),
            acceptsOrders = read && task == null && !ledger.isChanging && !ledger.needsReading && !engine.leaving,
            hostCopies = ledger.hostCopies,
            diskCopies = ledger.diskCopies,
            residentSince = residentSince[engine.name].orEmpty(),
        )
    }

    /** Returns the base models that are being or about to be unloaded from [engine]. */
    fun departingModels(
        engine: UpstreamName,
        ledger: EngineLedger,
    ): PersistentSet<ModelName> {
        val task = tasks[engine]
        return (listOfNotNull(ledger.unloading ?: task?.victim) + task?.furtherVictims.orEmpty()).toPersistentSet()
    }

    private fun isFromStore(
        engine: UpstreamName,
        model: ModelName,
    ): Boolean {
        val ledger = ledgers[engine] ?: return true
        return model !in ledger.hostCopies && model !in ledger.diskCopies
    }

    private fun loadTime(
        fleet: EngineFleet,
        engine: UpstreamName,
        model: ModelName,
    ): Duration {
        val served = fleet.models[model] ?: return Duration.ZERO
        val ledger = ledgers[engine]
        return when {
            ledger != null && model in ledger.hostCopies -> served.hostLoad
            ledger != null && model in ledger.diskCopies -> served.diskLoad
            else -> served.coldLoad
        }
    }

    private companion object {
        /** Nodes learn of a departing model in one exchange and report their requests for it in the next. */
        val MINIMUM_DEPARTURE_TIME = 500.milliseconds

        /** Most streams have ended by then. */
        val DEPARTURE_TIMEOUT = 6.seconds

        /**
         * An engine without requests for the model unloads it at once; [MINIMUM_DEPARTURE_TIME] has passed by then.
         */
        val UNLOAD_TIME = 200.milliseconds

        /** A reading shows the state of about 100 ms earlier. */
        val READING_LAG = 150.milliseconds

        /**
         * Short beside any load. Planning at each step took 0.1 of a core with 13 engines and 30 models, so that an
         * issuer with 0.12 of a core answered the other nodes seconds late.
         */
        val PLANNING_PERIOD = 200.milliseconds

        /** Planning before all engines are read could load a model that an unread engine already holds. */
        val FIRST_READINGS_TIMEOUT = 1.seconds

        /** Remaining time reported for a load that takes longer than expected: about one more reading. */
        val OVERDUE_LOAD_TIME = 300.milliseconds

        /** Twice the longest load time; after that the engine is planned for again. */
        val TASK_TIMEOUT = 20.seconds
    }
}
