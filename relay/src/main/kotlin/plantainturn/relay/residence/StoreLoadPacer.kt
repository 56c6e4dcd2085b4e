package plantainturn.relay.residence

import plantainturn.process.time.Moment
import kotlin.time.Duration

/**
 * Counts loads from the weight store against its ceiling, over a sliding window.
 *
 * A new issuer does not know what the one before it began, so it starts with nothing left for one window.
 */
internal class StoreLoadPacer(
    private val window: Duration,
    startedAt: Moment,
    assumedBefore: Int,
) {
    private val begun = ArrayDeque<Moment>()

    init {
        repeat(assumedBefore) { begun.addLast(startedAt) }
    }

    /** Returns the loads that may begin at [now] when the store allows [perSecond]. */
    fun left(
        perSecond: Double,
        now: Moment,
    ): Int {
        while (begun.firstOrNull()?.let { it < now - window } == true) begun.removeFirst()
        return (perSecond * window.inWholeSeconds).toInt().coerceAtLeast(1) - begun.size
    }

    /** Notes that a load began. */
    fun onLoad(now: Moment) {
        begun.addLast(now)
    }
}
