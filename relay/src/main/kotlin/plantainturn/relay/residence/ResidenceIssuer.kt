package plantainturn.relay.residence

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.apache.logging.log4j.LogManager
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.roster.InstanceRoster
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.control.lease.StoreLease
import plantainturn.process.control.residence.EngineLedger
import plantainturn.process.control.residence.EngineSituation
import plantainturn.process.control.residence.ModelPressure
import plantainturn.process.control.residence.ResidenceAction
import plantainturn.process.control.residence.ResidenceInput
import plantainturn.process.control.residence.ResidenceMove
import plantainturn.process.control.residence.ResidencePlanner
import plantainturn.process.control.residence.SequencedOrderResult
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.route.EngineFleet
import plantainturn.version.route.RoutingSource
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Gives the orders that change what engines hold, while this node holds the lease.
 *
 * Each lease begins with empty ledgers, and each engine is asked what it holds before its first order. Confined to the
 * event loop.
 */
public class ResidenceIssuer(
    private val lease: StoreLease,
    private val holder: String,
    private val roster: InstanceRoster,
    private val routing: RoutingSource,
    private val control: EngineControl,
    private val timer: TimerService,
    private val ceilingWindow: Duration,
    private val planner: ResidencePlanner = ResidencePlanner(),
) {
    private val logger = LogManager.getLogger("residence")
    private val wants = AdapterWants()
    private var session: Session? = null

    /** What callers of all nodes want, by base model. */
    public var pressure: Map<ModelName, ModelPressure> = emptyMap()

    /** How much each adapter is used at all nodes, by model and adapter. */
    public var adapterUse: Map<Pair<ModelName, ModelName>, Double> = emptyMap()

    /** Whether this node may give orders now. */
    public val isActive: Boolean
        get() = lease.permitsOrders()

    /** Grows whenever [residence] may have changed. */
    public var revision: Long = 0
        private set

    /** Looks at every engine and begins what is due. */
    public fun step() {
        val fence = lease.fence
        if (fence == null || !lease.permitsOrders()) {
            if (fence == null) session = null
            return
        }
        val current =
            session?.takeIf { it.fence == fence } ?: Session(fence).also {
                session = it
                logger.info("event=issuing-begins fence={}", fence)
            }
        current.step()
    }

    /** Returns what may be relied on at each engine: models that are not about to leave, with their adapters. */
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
        val fleet = fleetOf(service)
        val current = session
        if (fleet == null || current == null || !lease.permitsOrders()) return done(null)
        if (wants.add(model, adapter, done)) current.bringAdapter(fleet, model, adapter, candidates, ADAPTER_TRIES)
    }

    private fun fleetOf(service: ServiceName): EngineFleet? =
        routing.current
            ?.services
            ?.get(service)
            ?.engines

    private inner class Session(
        val fence: FenceNumber,
    ) {
        private val beganAt = timer.now()
        private val ledgers = HashMap<UpstreamName, EngineLedger>()
        private val startedAt = HashMap<UpstreamName, Long?>()
        private val grantedAt = HashMap<Triple<UpstreamName, ModelName, ModelName>, Moment>()
        private val asking = HashSet<UpstreamName>()
        private val askedAt = HashMap<UpstreamName, Moment>()
        private val tasks = HashMap<UpstreamName, EngineTask>()
        private val residentSince = HashMap<UpstreamName, MutableMap<ModelName, Moment>>()
        private val pacer = StoreLoadPacer(ceilingWindow, beganAt, if (fence.value == 0L) 0 else ASSUMED_LOADS)

        fun step() {
            val engines = roster.instances.values.filter { fleetOf(it.service) != null }
            forgetMissing(engines)
            engines.forEach(::follow)
            engines.groupBy { it.service }.forEach { (service, ofService) ->
                fleetOf(service)?.let { plan(it, ofService) }
            }
        }

        fun residence(): PersistentMap<UpstreamName, PersistentMap<ModelName, PersistentSet<ModelName>>> =
            ledgers
                .filterValues { it.readAt != null }
                .mapValues { (engine, ledger) ->
                    leavingModel(engine, ledger)?.let { ledger.residents.remove(it) } ?: ledger.residents
                }.toPersistentMap()

        fun arrivals(): Map<ModelName, Duration> {
            val now = timer.now()
            val arriving = HashMap<ModelName, Duration>()
            for ((name, task) in tasks) {
                val fleet = roster.instances[name]?.let { fleetOf(it.service) }
                val model = task.wanted
                if (fleet != null && model != null) {
                    val load = loadTime(fleet, name, model)
                    val left =
                        when (task.phase) {
                            EngineTask.Phase.LOADING -> (load - (now - task.since)).coerceAtLeast(LATE_ARRIVAL)
                            else -> load + UNLOAD_TIME
                        }
                    arriving.merge(model, left, ::minOf)
                }
            }
            return arriving
        }

        fun bringAdapter(
            fleet: EngineFleet,
            model: ModelName,
            adapter: ModelName,
            candidates: List<UpstreamName>,
            triesLeft: Int,
        ) {
            val able = candidates.filter { canTakeAdapter(it, model) }
            val holding = able.firstOrNull { adapter in ledgers.getValue(it).residents[model].orEmpty() }
            val target = able.firstOrNull { !ledgers.getValue(it).isChanging }
            val step = target?.let { adapterStep(fleet, it, model, adapter) }
            when {
                session !== this || holding != null || triesLeft <= 0 || !lease.permitsOrders() ->
                    wants.end(model, adapter, holding)
                target == null || step == null -> wants.end(model, adapter, null)
                else ->
                    give(fleet, target, step, "wanted by a request") { given ->
                        if (given && step.kind == ResidenceAction.Kind.LOAD) {
                            grantedAt[Triple(target, model, adapter)] = timer.now()
                            timer.schedule(ADAPTER_LOAD_TIME) { wants.end(model, adapter, target) }
                        } else {
                            if (!given) noteRefused(target, step)
                            timer.schedule(if (given) Duration.ZERO else ADAPTER_PAUSE) {
                                bringAdapter(fleet, model, adapter, candidates, triesLeft - 1)
                            }
                        }
                    }
            }
        }

        private fun canTakeAdapter(
            engine: UpstreamName,
            model: ModelName,
        ): Boolean {
            val ledger = ledgers[engine] ?: return false
            return model in ledger.residents &&
                leavingModel(engine, ledger) != model &&
                roster.instances[engine]?.leaving == false
        }

        /** The load itself, or the unload of the least used adapter that makes room for it; null if all are in use. */
        private fun adapterStep(
            fleet: EngineFleet,
            engine: UpstreamName,
            model: ModelName,
            adapter: ModelName,
        ): ResidenceAction? {
            val ledger = ledgers.getValue(engine)
            if (ledger.adapterCount() < fleet.adapterPlaces) {
                return ResidenceAction(ResidenceAction.Kind.LOAD, model, adapter)
            }
            val now = timer.now()
            grantedAt.values.removeIf { now - it > ADAPTER_PROTECTION }
            val held =
                ledger.residents
                    .flatMap { (base, adapters) -> adapters.map { base to it } }
                    .filter { Triple(engine, it.first, it.second) !in grantedAt }
            val least = held.minByOrNull { adapterUse[it] ?: 0.0 } ?: return null
            return ResidenceAction(ResidenceAction.Kind.UNLOAD, least.first, least.second)
        }

        /** An engine refuses to drop an adapter that a request uses; another one is chosen for a while. */
        private fun noteRefused(
            engine: UpstreamName,
            step: ResidenceAction,
        ) {
            val adapter = step.adapter ?: return
            if (step.kind == ResidenceAction.Kind.UNLOAD) {
                grantedAt[Triple(engine, step.model, adapter)] = timer.now()
            }
            askedAt.remove(engine)
        }

        private fun forgetMissing(engines: List<UpstreamInstance>) {
            val present = engines.map { it.name }.toSet()
            (ledgers.keys - present).forEach {
                ledgers.remove(it)
                tasks.remove(it)
                startedAt.remove(it)
                residentSince.remove(it)
                revision++
            }
        }

        private fun follow(engine: UpstreamInstance) {
            val ledger = ledgers.getOrPut(engine.name) { EngineLedger(engine.name) }
            if (engine.name in startedAt && startedAt[engine.name] != engine.startedAt) {
                logger.info("engine={} event=restarted startedAt={}", engine.name, engine.startedAt)
                ledger.onRestart(timer.now())
                tasks.remove(engine.name)
                revision++
            }
            startedAt[engine.name] = engine.startedAt
            if (isReadingDue(engine.name, ledger)) ask(engine, ledger)
            advance(engine, ledger)
        }

        private fun isReadingDue(
            engine: UpstreamName,
            ledger: EngineLedger,
        ): Boolean {
            if (engine in asking || ledger.calling) return false
            val now = timer.now()
            val last = askedAt[engine]
            val rested = last == null || now - last >= READING_PAUSE
            val ordered = ledger.orderedAt
            val done = ordered != null && now >= ordered + expectedDuration(engine, ledger)
            return rested && (ledger.needsReading || ledger.isBusyWithUnknown || ledger.isChanging && done)
        }

        private fun expectedDuration(
            engine: UpstreamName,
            ledger: EngineLedger,
        ): Duration {
            val fleet = roster.instances[engine]?.let { fleetOf(it.service) } ?: return Duration.ZERO
            val loading = ledger.loading ?: return UNLOAD_TIME
            return loadTime(fleet, engine, loading) + READING_LAG
        }

        private fun ask(
            engine: UpstreamInstance,
            ledger: EngineLedger,
        ) {
            val now = timer.now()
            asking += engine.name
            askedAt[engine.name] = now
            control.read(engine) { reading ->
                asking -= engine.name
                if (session !== this) return@read
                if (reading == null) {
                    logger.info("engine={} event=reading-failed", engine.name)
                    return@read
                }
                val before = ledger.residents.keys
                ledger.onReading(reading, now)
                noteResidence(engine.name, before, ledger.residents.keys)
                revision++
            }
        }

        private fun noteResidence(
            engine: UpstreamName,
            before: Set<ModelName>,
            after: Set<ModelName>,
        ) {
            val since = residentSince.getOrPut(engine) { HashMap() }
            since.keys.retainAll(after)
            if (before.isNotEmpty()) (after - before).forEach { since[it] = timer.now() }
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

        /** Goes on with the task at one engine as far as it can. */
        private fun advance(
            engine: UpstreamInstance,
            ledger: EngineLedger,
        ) {
            val task = tasks[engine.name] ?: return
            val fleet = fleetOf(engine.service) ?: return
            val now = timer.now()
            if (engine.leaving) {
                tasks.remove(engine.name)
                return
            }
            when (task.phase) {
                EngineTask.Phase.DEPARTING ->
                    if (now - task.since >= DEPARTURE_NOTICE) unload(fleet, engine.name, ledger, task)
                EngineTask.Phase.UNLOADING ->
                    if (!ledger.isChanging && !ledger.needsReading) {
                        val gone = task.victim !in ledger.residents
                        tasks[engine.name] =
                            task.copy(
                                phase = if (gone) EngineTask.Phase.LOADING else EngineTask.Phase.DEPARTING,
                                since = now,
                            )
                        if (gone && task.wanted == null) tasks.remove(engine.name)
                    }
                EngineTask.Phase.LOADING -> load(fleet, engine.name, ledger, task)
            }
        }

        private fun unload(
            fleet: EngineFleet,
            engine: UpstreamName,
            ledger: EngineLedger,
            task: EngineTask,
        ) {
            val victim = task.victim
            if (victim == null || victim !in ledger.residents) {
                tasks[engine] = task.copy(phase = EngineTask.Phase.LOADING, since = timer.now())
                return
            }
            give(fleet, engine, ResidenceAction(ResidenceAction.Kind.UNLOAD, victim), task.reason) { given ->
                if (given) tasks[engine] = task.copy(phase = EngineTask.Phase.UNLOADING, since = timer.now())
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
                ledger.loading == wanted || ledger.needsReading || ledger.calling -> Unit
                timer.now() - task.since > TASK_PATIENCE -> tasks.remove(engine)
                else -> {
                    val now = timer.now()
                    val fromStore = isFromStore(engine, wanted)
                    if (fromStore && pacer.left(fleet.storeLoadsPerSecond, now) <= 0) return
                    val order = ResidenceAction(ResidenceAction.Kind.LOAD, wanted)
                    val sent =
                        give(fleet, engine, order, task.reason) { given ->
                            if (given) tasks[engine] = task.copy(since = timer.now())
                        }
                    if (sent && fromStore) pacer.onLoad(now)
                }
            }
        }

        /** Gives an order if the ledger admits it, and tells [done] whether the engine took it. */
        private fun give(
            fleet: EngineFleet,
            engine: UpstreamName,
            action: ResidenceAction,
            reason: String,
            done: (Boolean) -> Unit,
        ): Boolean {
            val ledger = ledgers[engine]
            val instance = roster.instances[engine]
            val now = timer.now()
            val order =
                if (instance == null || !lease.permitsOrders()) null else ledger?.prepare(action, fleet, fence, now)
            if (order == null || ledger == null || instance == null) {
                done(false)
                return false
            }
            control.order(instance, order, holder) { result ->
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
                if (result is SequencedOrderResult.StaleFence) {
                    lease.observeLaterFence(result.seen ?: FenceNumber(Long.MAX_VALUE))
                }
                revision++
                done(result == SequencedOrderResult.Accepted || result == SequencedOrderResult.AlreadyHolds)
            }
            return true
        }

        private fun plan(
            fleet: EngineFleet,
            engines: List<UpstreamInstance>,
        ) {
            val unread = engines.any { ledgers[it.name]?.readAt == null }
            if (unread && timer.now() - beganAt < FIRST_READINGS) return
            val now = timer.now()
            val input =
                ResidenceInput(
                    fleet = fleet,
                    engines = engines.map { situation(it, fleet, now) },
                    pressure = pressure,
                    storeLoadsLeft = pacer.left(fleet.storeLoadsPerSecond, now),
                    now = now,
                )
            planner.plan(input).forEach { begin(it, now) }
        }

        private fun begin(
            move: ResidenceMove,
            now: Moment,
        ) {
            val action = move.action
            val task =
                if (action.kind == ResidenceAction.Kind.LOAD) {
                    EngineTask(action.model, null, EngineTask.Phase.LOADING, now, move.reason)
                } else {
                    EngineTask(move.wanted, action.model, EngineTask.Phase.DEPARTING, now, move.reason)
                }
            logger.info("engine={} event=task task={} pressure={}", move.engine, task, pressure[task.wanted])
            tasks[move.engine] = task
            revision++
        }

        private fun situation(
            engine: UpstreamInstance,
            fleet: EngineFleet,
            now: Moment,
        ): EngineSituation {
            val ledger = ledgers.getValue(engine.name)
            val read = ledger.readAt != null
            val task = tasks[engine.name]
            return EngineSituation(
                name = engine.name,
                domain = engine.domain,
                residents = (if (read) ledger.residents.keys else engine.residents.keys).toPersistentSet(),
                loading = ledger.loading ?: task?.wanted,
                unloading = leavingModel(engine.name, ledger),
                committedMegabytes = ledger.committedMegabytes(fleet, now),
                idle = read && task == null && !ledger.isChanging && !ledger.needsReading && !engine.leaving,
                hostCopies = ledger.hostCopies,
                diskCopies = ledger.diskCopies,
                residentSince = residentSince[engine.name].orEmpty(),
            )
        }

        private fun leavingModel(
            engine: UpstreamName,
            ledger: EngineLedger,
        ): ModelName? = ledger.unloading ?: tasks[engine]?.victim

        private fun isFromStore(
            engine: UpstreamName,
            model: ModelName,
        ): Boolean {
            val ledger = ledgers.getValue(engine)
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
    }

    private companion object {
        /** Nodes hear of a departing model within an exchange or two. */
        val DEPARTURE_NOTICE = 300.milliseconds
        val UNLOAD_TIME = 200.milliseconds

        /** A reading shows what was true some 100 ms before. */
        val READING_LAG = 150.milliseconds

        /** Each reading is priced like a probe. */
        val READING_PAUSE = 250.milliseconds
        val FIRST_READINGS = 1.seconds
        val LATE_ARRIVAL = 300.milliseconds
        val TASK_PATIENCE = 20.seconds

        /** Adapters take 5 to 14 ms, more while many are on their way. */
        val ADAPTER_LOAD_TIME = 16.milliseconds
        val ADAPTER_PAUSE = 10.milliseconds
        const val ADAPTER_TRIES = 12

        /** The request for which an adapter was loaded has begun by then. */
        val ADAPTER_PROTECTION = 700.milliseconds

        /** What an earlier holder may have begun in the window before this lease. */
        const val ASSUMED_LOADS = 2
    }
}
