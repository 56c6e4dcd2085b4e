package plantainturn.process.control

import kotlinx.collections.immutable.toPersistentList
import plantainturn.connection.engine.EngineOrder
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.log.StreamName
import plantainturn.process.control.controller.ControllerSettings
import plantainturn.process.control.lease.ControlState
import plantainturn.process.control.lease.LeaseFold
import plantainturn.process.control.lease.LeaseSettings
import plantainturn.process.control.lease.internal.ControlCodec
import plantainturn.process.control.lease.internal.DecodedEntry
import plantainturn.version.configuration.AdapterSpecification
import plantainturn.version.configuration.ModelName
import plantainturn.version.placement.PlacementMove
import plantainturn.version.placement.PlacementPlan
import plantainturn.version.placement.PlacementState
import plantainturn.version.placement.Planner
import plantainturn.version.placement.PlanningInput
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Plans random loads and unloads, regardless of memory. */
class ChurnPlanner(
    private val random: Random,
) : Planner {
    override fun plan(input: PlanningInput): PlacementPlan {
        val names = input.configuration.models.keys + input.configuration.adapters.keys
        val moves =
            List(random.nextInt(4)) {
                val (upstream, planned) = input.upstreams.entries.random(random)
                val name = names.random(random)
                when (planned.placements[name]) {
                    PlacementState.READY -> PlacementMove.Unload(upstream, name, "churn")
                    else -> PlacementMove.Load(upstream, name, "churn", random.nextBoolean())
                }
            }
        return PlacementPlan(moves.toPersistentList())
    }
}

/** Keeps one copy of each model: unloads surplus copies and loads missing ones. */
class OneCopyPlanner : Planner {
    private val floor = FloorPlanner()

    override fun plan(input: PlanningInput): PlacementPlan {
        val surplus =
            input.configuration.models.keys.flatMap { name ->
                val holders =
                    input.upstreams
                        .filterValues { it.placements[name] == PlacementState.READY }
                        .keys
                        .sorted()
                holders.drop(1).map { PlacementMove.Unload(it, name, "surplus") }
            }
        return PlacementPlan((surplus + floor.plan(input).moves).toPersistentList())
    }
}

/** A seeded run of two controllers, first with faults of all kinds and then without. */
class FaultyRun(
    seed: Long,
    private val refusesOldFences: Boolean,
    settings: ControllerSettings = ControllerSettings(orderDelayBound = 5.seconds),
) {
    private val random = Random(seed)
    private var foldedState = ControlState.EMPTY
    private var foldedRecords = 0
    private val fences = mutableListOf<FenceNumber>()
    val bench = ControlBench(LEASE, settings)
    val engines = List(2) { bench.engine("e$it", CAPACITY_MEGABYTES, refusesOldFences) }

    /** Orders sent to an engine under a fence that was already superseded on the log. */
    val staleSends = mutableListOf<String>()

    init {
        MODEL_MEGABYTES.forEachIndexed { index, memory -> bench.model("m$index", memory) }
        bench.change { known ->
            val adapter = AdapterSpecification(ModelName("m0"), ADAPTER_MEGABYTES)
            known.copy(adapters = known.adapters.put(ModelName("adapter"), adapter))
        }
        bench.node("n1", rate = 0.985)
        bench.node("n2", rate = 1.015)
        bench.planner = ChurnPlanner(random)
        engines.forEach(::makeFaulty)
    }

    fun runWithFaults(duration: Duration) {
        bench.run(WARM_UP)
        val end = bench.timer.now() + duration
        while (bench.timer.now() < end) {
            injectFault()
            bench.run(250.milliseconds)
        }
    }

    /** Ends all faults and runs for [duration], so that one copy of each model is restored. */
    fun recover(duration: Duration) {
        bench.planner = OneCopyPlanner()
        bench.log.unavailable = false
        bench.log.answersToLose = 0
        bench.log.appendsToLose = 0
        engines.forEach { engine ->
            engine.fate = { OrderFate.DELIVERED }
            engine.reportLag = { Duration.ZERO }
            engine.beforeOrder = {}
            engine.silent = false
        }
        bench.nodes.forEach { node ->
            node.log.disconnected = false
            node.log.appendDelay = { null }
            node.executor.resume()
        }
        bench.run(duration)
    }

    /** Returns the fences granted so far according to the records of the log alone. */
    fun grantedFences(): List<FenceNumber> {
        for (stored in bench.log.records(StreamName.control("all")).drop(foldedRecords)) {
            val known = ControlCodec.decode(stored.record.payload) as DecodedEntry.Known
            foldedState = LeaseFold.fold(foldedState, stored.offset, known.entry).state
            foldedRecords++
            if (fences.lastOrNull() != foldedState.fence) fences += foldedState.fence
        }
        return fences
    }

    private fun makeFaulty(engine: FakeEngine) {
        engine.fate = { if (random.nextInt(100) < 60) OrderFate.DELIVERED else OrderFate.entries.random(random) }
        engine.delay = { random.nextLong(4_500).milliseconds }
        engine.reportLag = { if (random.nextInt(4) == 0) random.nextLong(3_000).milliseconds else 0.milliseconds }
        engine.beforeOrder = { order ->
            noteStaleSend(order)
            if (random.nextInt(25) == 0) {
                bench.nodes
                    .random(random)
                    .executor.paused = true
            }
        }
    }

    private fun noteStaleSend(order: EngineOrder) {
        val fence = grantedFences().last()
        if (order.identifier.fence < fence) staleSends += "$order at ${bench.timer.now()} after fence $fence"
    }

    private fun injectFault() {
        val node = bench.nodes.random(random)
        when (random.nextInt(3)) {
            0 -> injectNodeFault(node)
            1 -> injectLogFault(node)
            2 -> injectEngineFault(engines.random(random))
        }
    }

    private fun injectNodeFault(node: ControlNode) {
        when (random.nextInt(30)) {
            in 0..2 -> node.executor.paused = true
            in 3..4 -> bench.nodes.forEach { it.executor.resume() }
            in 5..6 -> node.log.disconnected = true
            7 -> bench.nodes.forEach { it.log.disconnected = false }
        }
    }

    private fun injectLogFault(node: ControlNode) {
        when (random.nextInt(30)) {
            0 -> bench.log.unavailable = true
            in 1..3 -> bench.log.unavailable = false
            in 4..6 -> bench.log.answersToLose = random.nextInt(3)
            in 7..9 -> bench.log.appendsToLose = random.nextInt(3)
            in 10..11 -> node.log.appendDelay = ::occasionalDelay
            in 12..14 -> bench.nodes.forEach { it.log.appendDelay = { null } }
        }
    }

    private fun injectEngineFault(engine: FakeEngine) {
        when (random.nextInt(30)) {
            in 0..1 -> engine.restart()
            2 -> engine.silent = true
            in 3..5 -> engines.forEach { it.silent = false }
            in 6..7 -> bench.model("m1", MODEL_MEGABYTES[1], version = random.nextInt(3).toString())
        }
    }

    private fun occasionalDelay(): Duration? = random.nextLong(20_000).milliseconds.takeIf { random.nextInt(4) == 0 }

    companion object {
        val WARM_UP = 12.seconds
        val LEASE = LeaseSettings(term = 3.seconds, driftMargin = 400.milliseconds, renewalPeriod = 750.milliseconds)
        const val CAPACITY_MEGABYTES = 100L
        const val ADAPTER_MEGABYTES = 10L
        val MODEL_MEGABYTES = listOf(50L, 40L, 30L, 20L)
    }
}
