package plantainturn.request.quota

import plantainturn.process.time.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * A node's own part of an account's rate while there is no desk to ask.
 *
 * Load pattern: many nodes, each of whose parts is small beside one request. If each admitted a request as soon as it
 * had no debt, all together would admit one large request each at once. A request is therefore admitted when the
 * bucket holds a random fraction of its cost, and the rest becomes debt, so that nodes together admit the rate on
 * average. More than the node's part of the burst is saved up only while requests are refused for lack of it.
 */
internal class LocalBucket(
    private val random: Random,
    private var advancedAt: Moment,
) {
    private var level = 0.0
    private var fraction = random.nextDouble()
    private var wanted = 0.0
    private var wantedAt = advancedAt

    /** Returns null and subtracts [cost] if enough of it is saved up, otherwise the time until it is. */
    fun take(
        cost: Long,
        unitsPerSecond: Double,
        burst: Double,
        now: Moment,
    ): Duration? {
        val refill = unitsPerSecond * (now - advancedAt).toDouble(DurationUnit.SECONDS)
        val lead = unitsPerSecond * QuotaTiming.LOCAL_LEAD.toDouble(DurationUnit.SECONDS)
        val regular = maxOf(lead, burst)
        val highest = if (now - wantedAt <= QuotaTiming.RECENT_USE) maxOf(regular, wanted) else regular
        level = minOf(level + refill, highest)
        advancedAt = now
        if (unitsPerSecond <= 0) return QuotaTiming.WITHOUT_DESK_WAIT
        val needed = fraction * cost
        if (level < needed) {
            wanted = needed
            wantedAt = now
            return ((needed - level) / unitsPerSecond).seconds.coerceAtMost(QuotaTiming.WITHOUT_DESK_WAIT)
        }
        level -= cost
        // Small requests in between would otherwise give a large one many chances.
        if (cost > regular) fraction = random.nextDouble()
        return null
    }
}
