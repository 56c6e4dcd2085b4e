package plantainturn.version.placement.internal

import plantainturn.process.time.Moment

/**
 * Copies to unload from one upstream so that something else fits there.
 *
 * @property lostTokensPerSecond load that the remaining copies can't carry within their targets
 */
internal class Victims(
    val models: List<BoardModel>,
    val lostTokensPerSecond: Double,
) {
    val moves: Int
        get() = models.size

    companion object {
        val NONE: Victims = Victims(emptyList(), 0.0)
    }
}

/** Chooses what may go where memory is short. */
internal class Eviction(
    private val board: PlacementBoard,
    private val estimate: LoadEstimate,
    private val history: ResidenceHistory,
    private val now: Moment,
) {
    /** Returns settled surplus copies whose memory makes [megabytes] fit on [upstream], or null. */
    fun settledSurplus(
        upstream: BoardUpstream,
        megabytes: Long,
    ): Victims? = choose(upstream, megabytes) { isSurplus(it, upstream) && history.isSettled(it, upstream, now) }

    /** Returns surplus copies, however new, whose memory makes [megabytes] fit on [upstream], or null. */
    fun surplus(
        upstream: BoardUpstream,
        megabytes: Long,
    ): Victims? = choose(upstream, megabytes) { isSurplus(it, upstream) }

    /** Returns copies that are not the last ones, whose memory makes [megabytes] fit on [upstream], or null. */
    fun notLast(
        upstream: BoardUpstream,
        megabytes: Long,
    ): Victims? = choose(upstream, megabytes) { remainsReady(it, upstream) }

    /** Returns whether the floor of [model] and its adapters holds without [upstream]. */
    fun isSurplus(
        model: BoardModel,
        upstream: BoardUpstream,
    ): Boolean = keepsTwo(model, upstream) && adaptersOn(model, upstream).all { keepsTwo(it, upstream) }

    private fun remainsReady(
        model: BoardModel,
        upstream: BoardUpstream,
    ): Boolean = hasOther(model, upstream) && adaptersOn(model, upstream).all { hasOther(it, upstream) }

    private fun hasOther(
        model: BoardModel,
        upstream: BoardUpstream,
    ): Boolean = model.readyUpstreams().any { it != upstream }

    private fun keepsTwo(
        model: BoardModel,
        upstream: BoardUpstream,
    ): Boolean {
        val others = model.readyUpstreams().filter { it != upstream }
        if (others.size < FLOOR_COPIES) return false
        return others.distinctBy { it.domain }.size >= minOf(FLOOR_COPIES, domainCount)
    }

    private val domainCount = board.usable.distinctBy { it.domain }.size

    private fun adaptersOn(
        model: BoardModel,
        upstream: BoardUpstream,
    ): List<BoardModel> = model.adapters.filter { upstream.has(it) }

    private inline fun choose(
        upstream: BoardUpstream,
        megabytes: Long,
        mayGo: (BoardModel) -> Boolean,
    ): Victims? {
        val candidates =
            upstream.states.keys
                .mapNotNull { board.find(it) }
                .filter { it.baseModel == null && it.isReadyOn(upstream) && mayGo(it) }
                .sortedWith(compareBy({ estimate.share(it, upstream) / it.memoryMegabytes }, { it.name }))
        return fewest(upstream, megabytes, candidates)
    }

    private fun fewest(
        upstream: BoardUpstream,
        megabytes: Long,
        candidates: List<BoardModel>,
    ): Victims? {
        val missing = megabytes - upstream.freeMegabytes - upstream.arrivingMegabytes
        val single = candidates.firstOrNull { freed(it, upstream) >= missing }
        if (single != null) return victims(upstream, listOf(single))
        val chosen = mutableListOf<BoardModel>()
        var freed = 0L
        for (candidate in candidates) {
            chosen += candidate
            freed += freed(candidate, upstream)
            if (freed >= missing) return victims(upstream, chosen)
        }
        return null
    }

    private fun freed(
        model: BoardModel,
        upstream: BoardUpstream,
    ): Long = model.memoryMegabytes + adaptersOn(model, upstream).sumOf { it.memoryMegabytes }

    private fun victims(
        upstream: BoardUpstream,
        models: List<BoardModel>,
    ): Victims = Victims(models, models.sumOf { lost(it, upstream) })

    private fun lost(
        model: BoardModel,
        upstream: BoardUpstream,
    ): Double {
        val room = model.live.filter { it != upstream }.sumOf { maxOf(0.0, it.headroom) }
        return maxOf(0.0, estimate.share(model, upstream) - room)
    }

    companion object {
        /** Copies of each model, in different failure domains, that the floor asks for. */
        const val FLOOR_COPIES = 2
    }
}
