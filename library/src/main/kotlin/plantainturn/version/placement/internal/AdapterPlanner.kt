package plantainturn.version.placement.internal

import plantainturn.version.configuration.Objective
import plantainturn.version.placement.PlannerSettings
import plantainturn.version.placement.internal.Eviction.Companion.FLOOR_COPIES
import kotlin.time.DurationUnit

/**
 * Places adapters where their base model is ready: on two copies in different failure domains, and on further copies
 * where their own demand is worth the move.
 */
internal class AdapterPlanner(
    private val board: PlacementBoard,
    private val draft: MoveDraft,
    private val objective: Objective,
    private val settings: PlannerSettings,
) {
    fun plan() {
        val adapters = board.adapters.sortedWith(compareBy({ it.live.size }, { -it.requestsPerSecond }, { it.name }))
        adapters.forEach(::floor)
        adapters.filter(::isWorthReplicas).forEach(::follow)
    }

    private fun floor(adapter: BoardModel) {
        while (adapter.live.size < FLOOR_COPIES) {
            val target = nextTarget(adapter) ?: return
            val emergency = adapter.live.isEmpty()
            val reason = if (emergency) "No usable upstream holds it." else "It has only one copy."
            draft.loadAdapter(adapter, target, reason, emergency)
        }
    }

    private fun nextTarget(adapter: BoardModel): BoardUpstream? {
        val taken = adapter.liveDomains
        return candidates(adapter).minWithOrNull(
            compareBy({ it.domain in taken }, { -it.freeMegabytes }, { it.name }),
        )
    }

    private fun candidates(adapter: BoardModel): List<BoardUpstream> {
        val base = board.find(checkNotNull(adapter.baseModel)) ?: return emptyList()
        return base.live.filter {
            it.acceptsOrders && base.isReadyOn(it) && !it.has(adapter) && it.fits(adapter.memoryMegabytes)
        }
    }

    private fun isWorthReplicas(adapter: BoardModel): Boolean {
        val requests = adapter.requestsPerSecond * settings.paybackTime.toDouble(DurationUnit.SECONDS)
        val gain = requests * RELIEVED_SHARE * objective.attainmentWeight
        return gain > settings.hysteresis * objective.moveWeight
    }

    private fun follow(adapter: BoardModel) {
        candidates(adapter).forEach { target ->
            draft.loadAdapter(adapter, target, "Its demand is worth a copy beside its base model.", emergency = false)
        }
    }

    private companion object {
        /** The share of an adapter's requests that a further copy is taken to bring back into their targets. */
        const val RELIEVED_SHARE = 0.2
    }
}
