package plantainturn.version.placement.internal

import plantainturn.version.placement.PlacementMove
import plantainturn.version.placement.PlacementState

/** Collects the moves of a plan and keeps the board in step with them. */
internal class MoveDraft(
    private val budget: LoadBudget,
) {
    val moves: MutableList<PlacementMove> = mutableListOf()

    /** Unloads what the configuration no longer names. */
    fun dropUnknown(board: PlacementBoard) {
        board.orderable.forEach { upstream ->
            upstream.states.entries
                .filter { (name, state) -> state == PlacementState.READY && board.find(name) == null }
                .forEach { (name, _) ->
                    upstream.states[name] = PlacementState.UNLOADING
                    moves += PlacementMove.Unload(upstream.name, name, "The configuration no longer names it.")
                }
        }
    }

    /** Loads for the floor, now if memory and budget allow; otherwise keeps the memory for a later plan. */
    fun loadForFloor(
        model: BoardModel,
        upstream: BoardUpstream,
        reason: String,
        emergency: Boolean,
    ): Boolean = load(model, upstream, reason, emergency) { budget.takeFloorLoad() }

    /** Loads a replica beyond the floor, now if memory and budget allow. */
    fun loadReplica(
        model: BoardModel,
        upstream: BoardUpstream,
        reason: String,
    ): Boolean = load(model, upstream, reason, emergency = false) { budget.takeReplicaLoad() }

    fun loadAdapter(
        adapter: BoardModel,
        upstream: BoardUpstream,
        reason: String,
        emergency: Boolean,
    ): Boolean = load(adapter, upstream, reason, emergency) { budget.takeAdapterLoad() }

    /** Unloads [model] with its adapters. The memory comes free only for a later plan. */
    fun unload(
        model: BoardModel,
        upstream: BoardUpstream,
        reason: String,
    ) {
        model.adapters
            .filter { upstream.states[it.name] == PlacementState.READY }
            .forEach { unloadOne(it, upstream, reason) }
        unloadOne(model, upstream, reason)
    }

    private fun load(
        model: BoardModel,
        upstream: BoardUpstream,
        reason: String,
        emergency: Boolean,
        withinBudget: () -> Boolean,
    ): Boolean {
        val begins = upstream.fits(model.memoryMegabytes) && withinBudget()
        upstream.freeMegabytes -= model.memoryMegabytes
        model.live += upstream
        if (!begins) return false
        upstream.states[model.name] = PlacementState.LOADING
        moves += PlacementMove.Load(upstream.name, model.name, reason, emergency)
        return true
    }

    private fun unloadOne(
        model: BoardModel,
        upstream: BoardUpstream,
        reason: String,
    ) {
        upstream.states[model.name] = PlacementState.UNLOADING
        upstream.arrivingMegabytes += model.memoryMegabytes
        model.live -= upstream
        moves += PlacementMove.Unload(upstream.name, model.name, reason)
    }
}
