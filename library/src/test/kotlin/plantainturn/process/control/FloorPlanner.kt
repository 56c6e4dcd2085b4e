package plantainturn.process.control

import kotlinx.collections.immutable.toPersistentList
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.placement.PlacementMove
import plantainturn.version.placement.PlacementPlan
import plantainturn.version.placement.PlacementState
import plantainturn.version.placement.Planner
import plantainturn.version.placement.PlanningInput

/**
 * Loads each model that no usable engine holds onto one with enough memory, and each such adapter onto one that holds
 * its base model.
 *
 * It never plans an unload.
 */
class FloorPlanner : Planner {
    override fun plan(input: PlanningInput): PlacementPlan {
        val free =
            input.upstreams
                .filterValues { it.usable && it.acceptsOrders }
                .mapValues { it.value.freeMegabytes }
                .toMutableMap()
        val models =
            input.configuration.models.keys
                .sorted()
        val adapters =
            input.configuration.adapters.keys
                .sorted()
        val moves = models.mapNotNull { model(it, input, free) } + adapters.mapNotNull { adapter(it, input, free) }
        return PlacementPlan(moves.toPersistentList())
    }

    private fun model(
        name: ModelName,
        input: PlanningInput,
        free: MutableMap<UpstreamName, Long>,
    ): PlacementMove? {
        val memory =
            input.configuration.models
                .getValue(name)
                .memoryMegabytes
        return load(name, memory, input, free) { true }
    }

    private fun adapter(
        name: ModelName,
        input: PlanningInput,
        free: MutableMap<UpstreamName, Long>,
    ): PlacementMove? {
        val adapter = input.configuration.adapters.getValue(name)
        return load(name, adapter.memoryMegabytes, input, free) { upstream ->
            state(adapter.baseModel, upstream, input) == PlacementState.READY
        }
    }

    private fun load(
        name: ModelName,
        memory: Long,
        input: PlanningInput,
        free: MutableMap<UpstreamName, Long>,
        suits: (UpstreamName) -> Boolean,
    ): PlacementMove? {
        if (isHeld(name, input)) return null
        val target =
            free
                .filter { (upstream, room) ->
                    room >= memory && suits(upstream) && state(name, upstream, input) == null
                }.maxWithOrNull(compareBy({ it.value }, { it.key }))
                ?.key ?: return null
        free.merge(target, -memory, Long::plus)
        return PlacementMove.Load(target, name, "no usable engine holds it", emergency = true)
    }

    private fun isHeld(
        name: ModelName,
        input: PlanningInput,
    ): Boolean = input.upstreams.any { it.value.usable && holds(state(name, it.key, input)) }

    private fun holds(state: PlacementState?): Boolean =
        state == PlacementState.READY || state == PlacementState.LOADING

    private fun state(
        name: ModelName,
        upstream: UpstreamName,
        input: PlanningInput,
    ): PlacementState? = input.upstreams.getValue(upstream).placements[name]
}
