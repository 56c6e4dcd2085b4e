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
    private val eviction: Eviction,
    private val objective: Objective,
    private val settings: PlannerSettings,
) {
    fun plan() {
        val adapters = board.adapters.sortedWith(compareBy({ it.live.size }, { -it.requestsPerSecond }, { it.name }))
        adapters.forEach(::floor)
        adapters.filter(::isWorthReplicas).forEach(::follow)
    }

    private fun floor(adapter: BoardModel) {
        repeat(FLOOR_COPIES) {
            if (adapter.liveDomains.size >= FLOOR_COPIES) return
            val places = places(adapter).filter { it.domain !in adapter.liveDomains }
            val target = places.firstOrNull { it.fits(adapter.memoryMegabytes) } ?: return makeRoom(adapter, places)
            val emergency = adapter.live.isEmpty()
            val reason = if (emergency) "No usable upstream holds it." else "It is in one failure domain only."
            draft.loadAdapter(adapter, target, reason, emergency)
        }
    }

    /** Unloads surplus beside the base model, or for a first copy anything that is not the last, for a later plan. */
    private fun makeRoom(
        adapter: BoardModel,
        places: List<BoardUpstream>,
    ) {
        if (places.any { it.willFit(adapter.memoryMegabytes) }) return
        val (place, victims) =
            places.firstNotNullOfOrNull { place -> victims(adapter, place)?.let { place to it } } ?: return
        victims.models.forEach { draft.unload(it, place, "Makes room for ${adapter.name}, which lacks its floor.") }
    }

    private fun victims(
        adapter: BoardModel,
        place: BoardUpstream,
    ): Victims? {
        val victims =
            eviction.surplus(place, adapter.memoryMegabytes)
                ?: if (adapter.live.isEmpty()) eviction.notLast(place, adapter.memoryMegabytes) else null
        return victims?.takeIf { found -> found.models.none { it.name == adapter.baseModel } }
    }

    private fun places(adapter: BoardModel): List<BoardUpstream> {
        val base = board.find(checkNotNull(adapter.baseModel)) ?: return emptyList()
        return base.live
            .filter {
                it.acceptsOrders && base.isReadyOn(it) && !it.has(adapter)
            }.sortedWith(compareBy({ -it.freeMegabytes }, { it.name }))
    }

    private fun isWorthReplicas(adapter: BoardModel): Boolean {
        val requests = adapter.requestsPerSecond * settings.paybackTime.toDouble(DurationUnit.SECONDS)
        val gain = requests * RELIEVED_SHARE * objective.attainmentWeight
        return gain > settings.hysteresis * objective.moveWeight
    }

    private fun follow(adapter: BoardModel) {
        places(adapter).filter { it.fits(adapter.memoryMegabytes) }.forEach { target ->
            draft.loadAdapter(adapter, target, "Its demand is worth a copy beside its base model.", emergency = false)
        }
    }

    private companion object {
        /** The share of an adapter's requests that a further copy is taken to bring back into their targets. */
        const val RELIEVED_SHARE = 0.2
    }
}
