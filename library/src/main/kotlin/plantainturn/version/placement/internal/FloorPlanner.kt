package plantainturn.version.placement.internal

import plantainturn.version.placement.internal.Eviction.Companion.FLOOR_COPIES

/**
 * Restores the floor of residence: one copy of each base model first, then a second one in another failure domain.
 *
 * Where memory is short, a first copy may displace any copy that is not the last of its model; a second copy may only
 * displace surplus.
 */
internal class FloorPlanner(
    private val board: PlacementBoard,
    private val draft: MoveDraft,
    private val eviction: Eviction,
    private val estimate: LoadEstimate,
) {
    private val domainCount = board.usable.distinctBy { it.domain }.size

    fun plan() {
        absent().forEach(::restore)
        single().forEach(::second)
    }

    private fun absent(): List<BoardModel> =
        board.models
            .filter { it.live.isEmpty() }
            .sortedWith(compareBy({ -urgency(it) }, { -it.memoryMegabytes }, { it.name }))

    private fun urgency(model: BoardModel): Double =
        model.waiting + model.requestsPerSecond + model.adapters.sumOf { it.waiting + it.requestsPerSecond }

    private fun single(): List<BoardModel> =
        board.models
            .filter { it.live.isNotEmpty() && !hasFloor(it) }
            .sortedWith(compareBy({ -it.memoryMegabytes }, { it.name }))

    private fun hasFloor(model: BoardModel): Boolean =
        model.live.size >= FLOOR_COPIES && model.liveDomains.size >= minOf(FLOOR_COPIES, domainCount)

    private fun restore(model: BoardModel) {
        val targets = targets(model) { true }
        val reason = "No usable upstream holds it."
        if (placeInFree(model, targets, model.groupMegabytes, reason, emergency = true)) return
        if (placeInFree(model, targets, model.memoryMegabytes, reason, emergency = true)) return
        displace(model, targets, reason, emergency = true) { upstream, megabytes ->
            eviction.surplus(upstream, megabytes) ?: eviction.notLast(upstream, megabytes)
        }
    }

    private fun second(model: BoardModel) {
        val taken = model.liveDomains
        val targets = targets(model) { domainCount < FLOOR_COPIES || it.domain !in taken }
        val reason = "Its only copy is in ${taken.first()}."
        if (placeInFree(model, targets, model.groupMegabytes, reason, emergency = false)) return
        if (displace(model, targets, reason, emergency = false, eviction::surplus)) return
        if (relocate(model, targets)) return
        placeInFree(model, targets, model.memoryMegabytes, reason, emergency = false)
    }

    private inline fun targets(
        model: BoardModel,
        condition: (BoardUpstream) -> Boolean,
    ): List<BoardUpstream> =
        board.orderable
            .filter { !it.has(model) && condition(it) }
            .sortedWith(compareBy({ -it.freeMegabytes }, { it.name }))

    private fun placeInFree(
        model: BoardModel,
        targets: List<BoardUpstream>,
        megabytes: Long,
        reason: String,
        emergency: Boolean,
    ): Boolean {
        val target =
            targets.firstOrNull { it.fits(megabytes) }
                ?: targets.firstOrNull { it.willFit(megabytes) }
                ?: return false
        place(model, target, reason, emergency)
        return true
    }

    private fun place(
        model: BoardModel,
        target: BoardUpstream,
        reason: String,
        emergency: Boolean,
    ) {
        draft.loadForFloor(model, target, reason, emergency)
        estimate.update(model)
    }

    private fun displace(
        model: BoardModel,
        targets: List<BoardUpstream>,
        reason: String,
        emergency: Boolean,
        choose: (BoardUpstream, Long) -> Victims?,
    ): Boolean {
        val (target, victims) =
            targets
                .mapNotNull { upstream -> choose(upstream, model.groupMegabytes)?.let { upstream to it } }
                .minWithOrNull(compareBy({ it.second.lostTokensPerSecond }, { it.second.moves }, { it.first.name }))
                ?: return false
        victims.models.forEach { draft.unload(it, target, "Makes room for ${model.name}, which lacks its floor.") }
        place(model, target, reason, emergency)
        return true
    }

    /** Loads elsewhere a copy that stands in the way, so that a later plan finds it surplus. */
    private fun relocate(
        model: BoardModel,
        targets: List<BoardUpstream>,
    ): Boolean {
        for (target in targets) {
            val missing = model.groupMegabytes - target.freeMegabytes - target.arrivingMegabytes
            val inTheWay =
                target.states.keys
                    .mapNotNull { board.find(it) }
                    .filter { blocks(it, target, missing) }
            for (other in inTheWay) {
                if (moveAside(other, target, model)) return true
            }
        }
        return false
    }

    private fun blocks(
        model: BoardModel,
        upstream: BoardUpstream,
        missing: Long,
    ): Boolean = model.baseModel == null && model.isReadyOn(upstream) && model.groupMegabytes >= missing

    private fun moveAside(
        model: BoardModel,
        from: BoardUpstream,
        inFavourOf: BoardModel,
    ): Boolean {
        val kept = model.live.filter { it != from }.mapTo(HashSet()) { it.domain }
        val room =
            targets(model) { it.fits(model.groupMegabytes) && (domainCount < FLOOR_COPIES || it.domain !in kept) }
        val target = room.firstOrNull() ?: return false
        return draft.loadForFloor(model, target, "Moves from ${from.name} in favour of ${inFavourOf.name}.", false)
    }
}
