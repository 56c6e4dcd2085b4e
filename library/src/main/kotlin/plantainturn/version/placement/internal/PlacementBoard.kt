package plantainturn.version.placement.internal

import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.placement.ModelDemand
import plantainturn.version.placement.PlacementState
import plantainturn.version.placement.PlannedUpstream
import plantainturn.version.placement.PlannerSettings
import plantainturn.version.placement.PlanningInput
import kotlin.time.DurationUnit

/**
 * The placement while a plan is made, sorted by name so that the order of the input does not matter.
 *
 * @property models the base models
 * @property adapters the adapters of configured base models
 * @property upstreams all engines
 */
internal class PlacementBoard private constructor(
    val models: List<BoardModel>,
    val adapters: List<BoardModel>,
    val upstreams: List<BoardUpstream>,
) {
    private val byName: Map<ModelName, BoardModel> = (models + adapters).associateBy { it.name }

    val usable: List<BoardUpstream> = upstreams.filter { it.usable }

    val orderable: List<BoardUpstream> = upstreams.filter { it.acceptsOrders }

    fun find(name: ModelName): BoardModel? = byName[name]

    private fun connect() {
        adapters.forEach { byName.getValue(checkNotNull(it.baseModel)).adapters += it }
        usable.forEach { upstream ->
            upstream.states.forEach { (name, state) ->
                if (state.isLive) byName[name]?.live?.add(upstream)
            }
        }
    }

    companion object {
        fun of(
            input: PlanningInput,
            settings: PlannerSettings,
        ): PlacementBoard {
            val board =
                PlacementBoard(
                    models = models(input, settings),
                    adapters = adapters(input, settings),
                    upstreams =
                        input.upstreams.entries
                            .map { board(it.key, it.value, input, settings) }
                            .sorted(),
                )
            board.connect()
            return board
        }

        private fun models(
            input: PlanningInput,
            settings: PlannerSettings,
        ): List<BoardModel> =
            input.configuration.models.entries
                .sortedBy { it.key }
                .map { (name, model) -> board(name, null, model.memoryMegabytes, input.demand[name], settings) }

        private fun adapters(
            input: PlanningInput,
            settings: PlannerSettings,
        ): List<BoardModel> =
            input.configuration.adapters.entries
                .filter { it.value.baseModel in input.configuration.models }
                .sortedBy { it.key }
                .map { (name, it) -> board(name, it.baseModel, it.memoryMegabytes, input.demand[name], settings) }

        private fun board(
            name: ModelName,
            baseModel: ModelName?,
            memoryMegabytes: Long,
            demand: ModelDemand?,
            settings: PlannerSettings,
        ): BoardModel =
            BoardModel(
                name = name,
                baseModel = baseModel,
                memoryMegabytes = memoryMegabytes,
                requestsPerSecond = demand?.let(::plannedRequestsPerSecond) ?: 0.0,
                tokensPerRequest = demand?.tokensPerRequest?.takeIf { it > 0 } ?: settings.defaultTokensPerRequest,
                waiting = demand?.waiting ?: 0,
            )

        private fun board(
            name: UpstreamName,
            planned: PlannedUpstream,
            input: PlanningInput,
            settings: PlannerSettings,
        ): BoardUpstream =
            BoardUpstream(
                name = name,
                domain = planned.failureDomain,
                usable = planned.usable,
                acceptsOrders = planned.usable && planned.acceptsOrders,
                capacityTokensPerSecond = capacity(planned, settings),
                freeMegabytes = planned.freeMegabytes,
                arrivingMegabytes = arriving(planned, input.configuration),
                states = planned.placements.toSortedMap(),
            )

        private fun capacity(
            planned: PlannedUpstream,
            settings: PlannerSettings,
        ): Double = settings.usableShare * planned.concurrency / settings.tokenInterval.toDouble(DurationUnit.SECONDS)

        private fun arriving(
            planned: PlannedUpstream,
            configuration: Configuration,
        ): Long =
            planned.placements.entries
                .filter { it.value == PlacementState.UNLOADING }
                .sumOf { memory(it.key, configuration) }

        private fun memory(
            name: ModelName,
            configuration: Configuration,
        ): Long = configuration.models[name]?.memoryMegabytes ?: configuration.adapters[name]?.memoryMegabytes ?: 0
    }
}

/** Whether the state counts as a copy that requests can use, now or after its load. */
internal val PlacementState.isLive: Boolean
    get() = this == PlacementState.READY || this == PlacementState.LOADING

/** Weighs the fast average, which follows a burst, against the slow one, which outlasts a lull. */
internal fun plannedRequestsPerSecond(demand: ModelDemand): Double =
    maxOf(demand.slowRequestsPerSecond, FAST_WEIGHT * demand.fastRequestsPerSecond)

private const val FAST_WEIGHT = 0.9
