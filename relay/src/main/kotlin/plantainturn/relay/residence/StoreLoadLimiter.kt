package plantainturn.relay.residence

import plantainturn.process.control.residence.SequencedOrder
import plantainturn.process.time.Moment
import kotlin.time.Duration

/**
 * Counts loads from the weight store against its ceiling, over a sliding window.
 *
 * @param known loads that issuers before this one began, as far as its node was told; null if it was not told
 */
internal class StoreLoadLimiter(
    private val window: Duration,
    private val startedAt: Moment,
    private val known: List<Moment>?,
) {
    private val begun = ArrayDeque(known.orEmpty().sorted())
    private val doubtful = ArrayDeque<Moment>()

    /** Returns the loads that may begin at [now] when the store allows [perSecond]. */
    fun left(
        perSecond: Double,
        now: Moment,
    ): Int {
        forget(now)
        val rated = perSecond * window.inWholeSeconds
        val whole = (rated * USED_SHARE).toInt().coerceAtLeast(1)
        val unsure = known == null && now - startedAt < window
        val beside = (rated * CEILING_SHARE).toInt() + MARGIN - whole - LATE_LOADS
        return (if (unsure) minOf(whole, beside) else whole) - begun.size - doubtful.size
    }

    /** Returns when loads began in the window that ends at [now]. */
    fun recent(now: Moment): List<Moment> {
        forget(now)
        return begun.toList()
    }

    /** Notes that a load began. */
    fun onLoad(now: Moment) {
        begun.addLast(now)
    }

    /** Notes that an order for a load got no answer: the load may begin seconds later. */
    fun onDoubt(now: Moment) {
        doubtful.addLast(now)
    }

    private fun forget(now: Moment) {
        while (begun.firstOrNull()?.let { it < now - window } == true) begun.removeFirst()
        while (doubtful.firstOrNull()?.let { it < now - SequencedOrder.MAXIMUM_EXECUTION_DELAY - window } ==
            true
        ) {
            doubtful.removeFirst()
        }
    }

    private companion object {
        /** Orders that an earlier issuer gave may also begin late, and nobody tells of them. */
        const val USED_SHARE = 0.75

        /** The ceiling of a window is this much of the rate and [MARGIN] loads more. */
        const val CEILING_SHARE = 1.1
        const val MARGIN = 3

        /** Loads of an issuer before that begin late, and of which nobody tells. */
        const val LATE_LOADS = 2
    }
}
