package plantainturn.request.admission

import plantainturn.process.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Estimates the wait in a queue from an exponential moving average of the time between starts.
 *
 * Only starts of requests that had to wait count, since other starts give no information about the capacity. Not
 * thread-safe.
 */
internal class WaitEstimator {
    private var lastStart: Moment? = null
    private var interval: Duration? = null

    /** Records the start of a request that had to wait. */
    fun recordStart(now: Moment) {
        val last = lastStart
        lastStart = now
        if (last == null) return
        val sample = (now - last).coerceAtMost(LONGEST_INTERVAL)
        val previous = interval
        interval = if (previous == null) sample else previous + (sample - previous) * SMOOTHING
    }

    /** Records that the queue is empty, so that the time until the next start is not measured. */
    fun recordIdle() {
        lastStart = null
    }

    /** Returns the expected wait of a request with [requestsAhead] before it, or zero before the first measurement. */
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
