package plantainturn.relay.residence

import plantainturn.process.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Counts loads from the weight store against its ceiling, over a sliding window.
 *
 * A new issuer does not know what the one before it began, so it uses only the ceiling's margin in its first window.
 *
 * @param first whether there was no issuer before
 */
internal class StoreLoadPacer(
    private val window: Duration,
    private val startedAt: Moment,
    private val first: Boolean,
) {
    private val begun = ArrayDeque<Moment>()
    private val doubtful = ArrayDeque<Moment>()

    /** Returns the loads that may begin at [now] when the store allows [perSecond]. */
    fun left(
        perSecond: Double,
        now: Moment,
    ): Int {
        while (begun.firstOrNull()?.let { it < now - window } == true) begun.removeFirst()
        while (doubtful.firstOrNull()?.let { it < now - LATEST_BEGIN - window } == true) doubtful.removeFirst()
        val whole = (perSecond * window.inWholeSeconds * USED_SHARE).toInt().coerceAtLeast(1)
        val unsure = !first && now - startedAt < window
        return (if (unsure) minOf(whole, MARGIN) else whole) - begun.size - doubtful.size
    }

    /** Notes that a load began. */
    fun onLoad(now: Moment) {
        begun.addLast(now)
    }

    /** Notes that an order for a load got no answer: the load may begin seconds later. */
    fun onDoubt(now: Moment) {
        doubtful.addLast(now)
    }

    private companion object {
        /** Orders that an earlier issuer gave may also begin late, and nobody tells of them. */
        const val USED_SHARE = 0.75

        /** The platform carries unanswered orders out within 12 s. */
        val LATEST_BEGIN = 12.seconds

        /** Loads that the ceiling allows in a window beyond its rate. */
        const val MARGIN = 3
    }
}
