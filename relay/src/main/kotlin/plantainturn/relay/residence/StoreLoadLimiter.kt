package plantainturn.relay.residence

import plantainturn.process.control.residence.SequencedOrder
import plantainturn.process.time.Moment
import kotlin.time.Duration

/**
 * Limits the rate of loads from the weight store over a sliding window, below the limit of the store.
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

    /** Returns how many loads may start at [now] if the store allows [perSecond], not positive if none may. */
    fun remainingLoads(
        perSecond: Double,
        now: Moment,
    ): Int {
        removeExpired(now)
        val ratedLoads = perSecond * window.inWholeSeconds
        val allowance = (ratedLoads * USED_SHARE).toInt().coerceAtLeast(1)
        val previousLoadsUnknown = previousLoads == null && now - startedAt < window
        val reducedAllowance = (ratedLoads * LIMIT_FACTOR).toInt() + LIMIT_MARGIN - allowance - LATE_LOAD_RESERVE
        return (if (previousLoadsUnknown) minOf(allowance, reducedAllowance) else allowance) -
            startedLoads.size -
            uncertainLoads.size
    }

    /** Returns the start times of loads in the window that ends at [now]. */
    fun recentLoads(now: Moment): List<Moment> {
        removeExpired(now)
        return startedLoads.toList()
    }

    /** Records that a load started. */
    fun onLoad(now: Moment) {
        startedLoads.addLast(now)
    }

    /** Records that the order for a load was not answered: the load may start seconds later. */
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
        /** Below 1, since orders of an earlier issuer may also be executed late, and such loads are not reported. */
        const val USED_SHARE = 0.75

        /** The limit of the store in a window is this multiple of the rate, plus [LIMIT_MARGIN] loads. */
        const val LIMIT_FACTOR = 1.1
        const val LIMIT_MARGIN = 3

        /** Loads of a previous issuer that start late and are not reported. */
        const val LATE_LOAD_RESERVE = 2
    }
}
