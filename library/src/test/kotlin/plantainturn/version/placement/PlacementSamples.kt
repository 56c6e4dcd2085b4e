package plantainturn.version.placement

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import plantainturn.process.time.Moment
import plantainturn.version.configuration.AdapterSpecification
import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.ModelSpecification
import plantainturn.version.configuration.Objective
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.WeightStoreLimits
import kotlin.time.Duration.Companion.seconds

/** A small fleet whose engines obey each plan at once, as the memory ledger would see it. */
internal class PlacementSamples(
    val configuration: Configuration,
    private val engines: Map<UpstreamName, Engine>,
) {
    class Engine(
        val domain: String,
        val megabytes: Long,
        var usable: Boolean = true,
        var acceptsOrders: Boolean = true,
        val placements: MutableMap<ModelName, PlacementState> = sortedMapOf(),
    )

    private val planner = DemandPlanner()
    private var now = Moment.ORIGIN
    var demand = persistentMapOf<ModelName, ModelDemand>()

    fun engine(name: String): Engine = engines.getValue(UpstreamName(name))

    fun input(reversed: Boolean = false): PlanningInput {
        val entries = engines.entries.map { it.key to planned(it.value) }
        val upstreams = (if (reversed) entries.reversed() else entries).toMap().toPersistentMap()
        return PlanningInput(now, configuration, upstreams, demand)
    }

    /** Plans once and a second later returns the plan; [carriedOut] makes the engines obey it. */
    fun step(carriedOut: Boolean = true): PlacementPlan {
        engines.values.forEach(::settle)
        now += 1.seconds
        val plan = planner.plan(input())
        if (carriedOut) plan.moves.forEach(::carryOut)
        return plan
    }

    fun settle(engine: Engine) {
        engine.placements.entries.removeIf { it.value == PlacementState.UNLOADING }
        engine.placements.replaceAll { _, state ->
            if (state ==
                PlacementState.LOADING
            ) {
                PlacementState.READY
            } else {
                state
            }
        }
    }

    fun used(engine: Engine): Long = engine.placements.keys.sumOf(::megabytes)

    fun domainsOf(name: ModelName): Set<String> =
        engines.values.filter { it.usable && it.placements[name] == PlacementState.READY }.mapTo(
            HashSet(),
        ) { it.domain }

    fun overcommitted(): Boolean = engines.values.any { used(it) > it.megabytes }

    fun fail(name: String) {
        engine(name).usable = false
        engine(name).placements.clear()
    }

    private fun carryOut(move: PlacementMove) {
        val engine = engines.getValue(move.upstream)
        when (move) {
            is PlacementMove.Load -> engine.placements[move.name] = PlacementState.LOADING
            is PlacementMove.Unload -> engine.placements[move.name] = PlacementState.UNLOADING
            is PlacementMove.ChangeRole -> Unit
        }
    }

    private fun planned(engine: Engine): PlannedUpstream =
        PlannedUpstream(
            failureDomain = FailureDomain(engine.domain),
            accelerators = 1,
            capacityMegabytes = engine.megabytes,
            freeMegabytes = engine.megabytes - used(engine),
            concurrency = 16,
            usable = engine.usable,
            placements = engine.placements.toPersistentMap(),
            acceptsOrders = engine.acceptsOrders,
        )

    private fun megabytes(name: ModelName): Long =
        configuration.models[name]?.memoryMegabytes ?: configuration.adapters.getValue(name).memoryMegabytes

    companion object {
        fun of(
            modelMegabytes: List<Long>,
            engines: List<Pair<String, Long>>,
            adapters: Int = 0,
            limits: WeightStoreLimits = WeightStoreLimits(loadsPerSecond = 100.0, concurrentLoads = 100),
        ): PlacementSamples {
            val models =
                modelMegabytes.withIndex().associate {
                    ModelName("m${it.index}") to
                        ModelSpecification(it.value)
                }
            val adapterMap =
                (0 until adapters).associate {
                    ModelName("a$it") to
                        AdapterSpecification(ModelName("m0"), 1)
                }
            val configuration =
                Configuration(
                    models = models.toPersistentMap(),
                    adapters = adapterMap.toPersistentMap(),
                    weightStore = limits,
                    objective = Objective(1.0, 1.0),
                )
            val fleet =
                engines.withIndex().associate { (index, engine) ->
                    UpstreamName("u$index") to Engine(engine.first, engine.second)
                }
            return PlacementSamples(configuration, fleet)
        }
    }
}
