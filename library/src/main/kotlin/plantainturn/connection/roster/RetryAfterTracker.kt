package plantainturn.connection.roster

import plantainturn.process.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * Tracks the instances that asked this node to send them no requests for a while.
 *
 * An overloaded instance rejects requests and states how long to back off. Until that time has passed it is sent
 * nothing: no trial, no repetition and no query of the issuer either. A later answer with a shorter time does not
 * shorten a longer backoff. Confined to one thread.
 */
public class RetryAfterTracker {
    private val ends = HashMap<InstanceRun, Moment>()

    /**
     * Records that [run] asked for a backoff of [asked] and returns how long it gets no requests from [now] on.
     *
     * @return null if [asked] is not positive; otherwise the time left of the longest backoff that it asked for,
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

    /** Returns how much longer [run] must get no requests, null if it may get them. */
    public fun remaining(
        run: InstanceRun,
        now: Moment,
    ): Duration? = ends[run]?.takeIf { it > now }?.let { it - now }

    public companion object {
        /** Far above what an overloaded server needs; an absurdly long value must not exclude an instance for good. */
        public val MAXIMUM_RETRY_AFTER: Duration = 5.minutes
    }
}
