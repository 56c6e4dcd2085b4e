package plantainturn.relay.residence

import plantainturn.process.control.residence.SequencedOrder
import plantainturn.process.time.Moment
import kotlin.time.Duration

/**
 * Counts loads from the weight store against its ceiling, over a sliding window.
 *
 * @param previousLoads the starts of loads by previous issuers, as reported to this node; null if none were reported
 */
internal class StoreLoadLimiter(
    private val window: Duration,
    private val startedAt: Moment,
    private val previousLoads: List<Moment>?,
) {
    private val startedLoads = ArrayDeque(previousLoads.orEmpty().sorted())
    private val uncertainLoads = ArrayDeque<Moment>()

    /** Returns the loads that may begin at [now] when the store allows [perSecond]. */
    fun remainingLoads(
        perSecond: Double,
        now: Moment,
    ): Int {
        removeExpired(now)
        val ratedLoads = perSecond * window.inWholeSeconds
        val allowance = (ratedLoads * USED_SHARE).toInt().coerceAtLeast(1)
        val previousLoadsUnknown = previousLoads == null && now - startedAt < window
        val reducedAllowance = (ratedLoads * LIMIT_SHARE).toInt() + LIMIT_MARGIN - allowance - LATE_LOAD_RESERVE
        return (if (previousLoadsUnknown) minOf(allowance, reducedAllowance) else allowance) -
            startedLoads.size -
            uncertainLoads.size
    }

    /** Returns when loads began in the window that ends at [now]. */
    fun recentLoads(now: Moment): List<Moment> {
        removeExpired(now)
        return startedLoads.toList()
    }

    /** Notes that a load began. */
    fun onLoad(now: Moment) {
        startedLoads.addLast(now)
    }

    /** Notes that an order for a load got no answer: the load may begin seconds later. */
    fun onUncertainLoad(now: Moment) {
        uncertainLoads.addLast(now)
    }

    private fun removeExpired(now: Moment) {
        while (startedLoads.firstOrNull()?.let { it < now - window } == true) startedLoads.removeFirst()
        while (uncertainLoads.firstOrNull()?.let { it < now - SequencedOrder.MAXIMUM_EXECUTION_DELAY - window } ==
            true
        ) {
            uncertainLoads.removeFirst()
        }
    }

    private companion object {
        /** Orders that an earlier issuer gave may also begin late, and nobody tells of them. */
        const val USED_SHARE = 0.75

        /** The ceiling of a window is this much of the rate and [LIMIT_MARGIN] loads more. */
        const val LIMIT_SHARE = 1.1
        const val LIMIT_MARGIN = 3

        /** Loads of an issuer before that begin late, and of which nobody tells. */
        const val LATE_LOAD_RESERVE = 2
    }
}
