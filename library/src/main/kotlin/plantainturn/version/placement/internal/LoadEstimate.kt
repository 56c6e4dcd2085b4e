package plantainturn.version.placement.internal

/**
 * Spreads the demand for each model over its copies, in proportion to the headroom there, as routing does.
 *
 * Loads are in tokens a second and are kept in [BoardUpstream.loadTokensPerSecond].
 */
internal class LoadEstimate(
    private val board: PlacementBoard,
) {
    private val shares = HashMap<BoardModel, MutableMap<BoardUpstream, Double>>()

    init {
        board.models.forEach { shares[it] = mutableMapOf() }
        repeat(ROUNDS) { board.models.forEach(::spread) }
    }

    /** Spreads the demand again after copies of [model] were added or removed. */
    fun update(model: BoardModel) {
        spread(model)
        repeat(UPDATE_ROUNDS) { board.models.filter { it.tokensPerSecond > 0 }.forEach(::spread) }
    }

    /** Returns the load that [model] puts on [upstream]. */
    fun share(
        model: BoardModel,
        upstream: BoardUpstream,
    ): Double = shares[model]?.get(upstream) ?: 0.0

    private fun spread(model: BoardModel) {
        val share = shares.getValue(model)
        share.forEach { (upstream, load) -> upstream.loadTokensPerSecond -= load }
        share.clear()
        val demand = model.tokensPerSecond
        if (demand <= 0 || model.live.isEmpty()) return
        val weights = model.live.map { maxOf(it.headroom, MINIMUM_WEIGHT * it.capacityTokensPerSecond, 1.0) }
        val total = weights.sum()
        model.live.forEachIndexed { index, upstream ->
            val load = demand * weights[index] / total
            share.merge(upstream, load, Double::plus)
            upstream.loadTokensPerSecond += load
        }
    }

    private companion object {
        const val ROUNDS = 6
        const val UPDATE_ROUNDS = 2
        const val MINIMUM_WEIGHT = 0.02
    }
}
