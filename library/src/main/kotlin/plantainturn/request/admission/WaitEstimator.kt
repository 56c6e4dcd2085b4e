package plantainturn.request.admission

import plantainturn.process.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Expects the wait in a line from the time between its turns.
 *
 * Only turns that requests had to wait for count, since others say nothing of the capacity. Not safe for use by
 * several threads.
 */
internal class WaitEstimator {
    private var lastStart: Moment? = null
    private var interval: Duration? = null

    /** Records a turn of a request that waited. */
    fun recordStart(now: Moment) {
        val last = lastStart
        lastStart = now
        if (last == null) return
        val sample = (now - last).coerceAtMost(LONGEST_INTERVAL)
        val previous = interval
        interval = if (previous == null) sample else previous + (sample - previous) * SMOOTHING
    }

    /** Records that nobody waits, so that the time until the next turn says nothing. */
    fun recordIdle() {
        lastStart = null
    }

    /** Returns the expected wait of a request with [requestsAhead] before it, zero as long as nothing is known. */
    fun expectedWait(
        requestsAhead: Int,
        now: Moment,
    ): Duration {
        val average = interval ?: return Duration.ZERO
        val sinceLast = lastStart?.let { now - it } ?: Duration.ZERO
        val current = maxOf(average, sinceLast.coerceAtMost(LONGEST_INTERVAL))
        return current * (requestsAhead + 1)
    }

    private companion object {
        const val SMOOTHING = 0.2
        val LONGEST_INTERVAL = 30.seconds
    }
}
