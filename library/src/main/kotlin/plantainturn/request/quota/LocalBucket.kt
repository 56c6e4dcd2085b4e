package plantainturn.request.quota

import plantainturn.process.time.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * A node's own part of an account's rate while there is no desk to ask.
 *
 * Begins at a random debt of up to the cost of one request, so that many nodes together admit the rate on average and
 * not one request each at once. It is kept while the desk answers again: a slow desk is silent often and for a moment,
 * and a new debt each time would refuse most requests.
 */
internal class LocalBucket(
    random: Random,
    cost: Long,
    private var advancedAt: Moment,
) {
    private var level = -random.nextDouble() * cost

    /** Returns null and subtracts [cost] if there is no debt, otherwise the time until it is paid. */
    fun take(
        cost: Long,
        unitsPerSecond: Double,
        burst: Double,
        now: Moment,
    ): Duration? {
        val refill = unitsPerSecond * (now - advancedAt).toDouble(DurationUnit.SECONDS)
        val lead = unitsPerSecond * QuotaTiming.LOCAL_LEAD.toDouble(DurationUnit.SECONDS)
        val highest = maxOf(lead, burst)
        level = maxOf(level, minOf(level + refill, highest))
        advancedAt = now
        if (unitsPerSecond <= 0) return QuotaTiming.WITHOUT_DESK_WAIT
        if (level < 0) return (-level / unitsPerSecond).seconds.coerceAtMost(QuotaTiming.WITHOUT_DESK_WAIT)
        level -= cost
        return null
    }
}
