package plantainturn.version.placement.internal

import plantainturn.process.time.Moment
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration

/** Remembers since when each model has been on each upstream. Lasts from plan to plan. */
internal class ResidenceHistory(
    private val minimumResidence: Duration,
) {
    private data class Copy(
        val upstream: UpstreamName,
        val model: ModelName,
    )

    private var since: Map<Copy, Moment>? = null

    fun observe(
        board: PlacementBoard,
        now: Moment,
    ) {
        val earlier = since
        val current = HashMap<Copy, Moment>()
        for (upstream in board.upstreams) {
            for (name in upstream.states.keys) {
                val copy = Copy(upstream.name, name)
                current[copy] = if (earlier == null) now - minimumResidence else earlier[copy] ?: now
            }
        }
        since = current
    }

    /** Returns whether [model] has been on [upstream] for the minimum residence. */
    fun isSettled(
        model: BoardModel,
        upstream: BoardUpstream,
        now: Moment,
    ): Boolean {
        val start = since?.get(Copy(upstream.name, model.name)) ?: return true
        return now - start >= minimumResidence
    }
}
