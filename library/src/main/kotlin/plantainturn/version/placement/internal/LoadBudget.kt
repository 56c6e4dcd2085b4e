package plantainturn.version.placement.internal

import plantainturn.process.time.Moment
import plantainturn.version.configuration.WeightStoreLimits
import plantainturn.version.placement.PlacementState
import kotlin.time.DurationUnit

/** Counts how many model loads may begin under the weight store's rate. Lasts from plan to plan. */
internal class LoadRate {
    private var available = 1.0
    private var countedUntil: Moment? = null

    /** Adds what the time since the last call allows, a second's worth at most and one load at least. */
    fun advance(
        now: Moment,
        limits: WeightStoreLimits,
    ) {
        val elapsed = countedUntil?.let { (now - it).toDouble(DurationUnit.SECONDS) } ?: 0.0
        available = minOf(maxOf(1.0, limits.loadsPerSecond), available + elapsed * limits.loadsPerSecond)
        countedUntil = now
    }

    fun take(): Boolean {
        if (available < 1.0) return false
        available -= 1.0
        return true
    }
}

/**
 * What the weight store still admits in this plan.
 *
 * The last free place among the concurrent model loads is kept for the floor wherever there is more than one.
 */
internal class LoadBudget(
    limits: WeightStoreLimits,
    private val rate: LoadRate,
    board: PlacementBoard,
) {
    private var modelPlaces = limits.concurrentLoads - loading(board, board.models)
    private var adapterPlaces = limits.concurrentAdapterLoads - loading(board, board.adapters)
    private val keptForFloor = if (limits.concurrentLoads > 1) 1 else 0

    fun takeFloorLoad(): Boolean = takeModelPlace(kept = 0)

    fun takeReplicaLoad(): Boolean = takeModelPlace(kept = keptForFloor)

    fun takeAdapterLoad(): Boolean {
        if (adapterPlaces <= 0) return false
        adapterPlaces--
        return true
    }

    private fun takeModelPlace(kept: Int): Boolean {
        if (modelPlaces <= kept) return false
        if (!rate.take()) return false
        modelPlaces--
        return true
    }

    private fun loading(
        board: PlacementBoard,
        models: List<BoardModel>,
    ): Int {
        val names = models.mapTo(HashSet()) { it.name }
        return board.upstreams.sumOf { upstream ->
            upstream.states.count { (name, state) -> state == PlacementState.LOADING && name in names }
        }
    }
}
