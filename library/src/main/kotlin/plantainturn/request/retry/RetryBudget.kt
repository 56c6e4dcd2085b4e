package plantainturn.request.retry

import plantainturn.process.time.Moment
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits a node's retries in proportion to its successes, so that retries can't amplify an overload.
 *
 * Each success adds a fraction of a retry, and time adds a few, up to a reserve. Safe for use by several threads.
 *
 * @param ratio retries that one success adds
 * @param reserve the maximum of retries that are saved up; the budget starts with it
 * @param refillPeriod the time that adds one retry without any success
 */
public class RetryBudget(
    private val ratio: Double = DEFAULT_RATIO,
    private val reserve: Double = DEFAULT_RESERVE,
    private val refillPeriod: Duration = DEFAULT_REFILL_PERIOD,
) {
    private val lock = ReentrantLock()
    private var available = reserve
    private var refilledAt: Moment? = null

    /** Records that a request was answered. */
    public fun recordSuccess(): Unit = lock.withLock { add(ratio) }

    /** Takes one retry at [now] and returns whether one was available. */
    public fun tryRetry(now: Moment): Boolean =
        lock.withLock {
            refill(now)
            if (available < 1.0) return false
            available -= 1.0
            true
        }

    private fun refill(now: Moment) {
        val since = refilledAt
        refilledAt = now
        if (since != null) add((now - since) / refillPeriod)
    }

    private fun add(retries: Double) {
        available = (available + retries).coerceAtMost(reserve)
    }

    private companion object {
        const val DEFAULT_RATIO = 0.2
        const val DEFAULT_RESERVE = 20.0
        val DEFAULT_REFILL_PERIOD = 2.seconds
    }
}
