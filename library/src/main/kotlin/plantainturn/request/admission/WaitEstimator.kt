package plantainturn.request.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import plantainturn.process.time.Moment

/**
 * Expects the wait in a line from the time between its turns.
 *
 * Only turns that requests had to wait for count, since others say nothing of the capacity. Not safe for use by
 * several threads.
 */
internal class WaitEstimator {
    private var lastTurn: Moment? = null
    private var interval: Duration? = null

    /** Records a turn of a request that waited. */
    fun recordStart(now: Moment) {
        val last = lastTurn
        lastTurn = now
        if (last == null) return
        val sample = (now - last).coerceAtMost(LONGEST_INTERVAL)
        val before = interval
        interval = if (before == null) sample else before + (sample - before) * SMOOTHING
    }

    /** Records that nobody waits, so that the time until the next turn says nothing. */
    fun idle() {
        lastTurn = null
    }

    /** Returns the expected wait of a request with [requestsAhead] before it, zero as long as nothing is known. */
    fun expectedWait(
        requestsAhead: Int,
        now: Moment,
    ): Duration {
        val known = interval ?: return Duration.ZERO
        val sinceLast = lastTurn?.let { now - it } ?: Duration.ZERO
        val present = maxOf(known, sinceLast.coerceAtMost(LONGEST_INTERVAL))
        return present * (requestsAhead + 1)
    }

    private companion object {
        const val SMOOTHING = 0.2
        val LONGEST_INTERVAL = 30.seconds
    }
}
