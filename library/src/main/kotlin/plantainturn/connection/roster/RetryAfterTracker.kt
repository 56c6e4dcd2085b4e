package plantainturn.connection.roster

import plantainturn.process.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * Which instances asked this node to send them nothing for a while.
 *
 * Load pattern: an instance that is overrun turns requests away and names the time that it needs. Until then nothing
 * goes there, no trial, no repetition and no question of the issuer either. A later answer that names a shorter time
 * does not end a longer rest. Confined to one thread.
 */
public class RetryAfterTracker {
    private val ends = HashMap<InstanceRun, Moment>()

    /**
     * Takes in that [run] asked for a rest and returns how long it is left alone from [now] on.
     *
     * @return null if [asked] is no time to wait; otherwise the longest rest that it asked for and that has not ended,
     * [MAXIMUM_RETRY_AFTER] at most
     */
    public fun onRetryAfter(
        run: InstanceRun,
        asked: Duration,
        now: Moment,
    ): Duration? {
        if (!asked.isPositive()) return null
        ends.values.removeIf { it <= now }
        val end = maxOf(now + minOf(asked, MAXIMUM_RETRY_AFTER), ends[run] ?: now)
        ends[run] = end
        return end - now
    }

    /** Returns how much longer [run] is to be left alone, null if it is not. */
    public fun remaining(
        run: InstanceRun,
        now: Moment,
    ): Duration? = ends[run]?.takeIf { it > now }?.let { it - now }

    public companion object {
        /** The longest rest that is kept: far above what an overrun server needs, so that nonsense does not lose it. */
        public val MAXIMUM_RETRY_AFTER: Duration = 5.minutes
    }
}
