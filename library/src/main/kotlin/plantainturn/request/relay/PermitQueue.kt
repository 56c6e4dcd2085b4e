package plantainturn.request.relay

import plantainturn.process.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Hands out the permits to send requests to one instance that limits its requests, just below the rate that it
 * accepts.
 *
 * Load pattern: an overloaded instance accepts one request every few hundred milliseconds, and many nodes have requests
 * for it. All permits come from one queue, so that their sum depends neither on the number of nodes nor on how the
 * demand is spread over them. A free permit goes to a request that is in time before a late one, to an urgent one
 * before a less urgent one, and then to the one that waits longest. A request that can't get its permit in time is
 * denied at once. Unused permits do not accumulate. Confined to one thread.
 *
 * @param T identifies a waiting request
 * @param startedAt the first permit is free one interval later, since requests may just have been sent without permits
 */
public class PermitQueue<T>(
    startedAt: Moment,
) {
    private val waiting = ArrayList<Waiting<T>>()
    private var lastPermitAt = startedAt

    /** Number of waiting requests. */
    public val size: Int
        get() = waiting.size

    /** Adds [request]; [advance] tells what becomes of it. */
    public fun add(
        identifier: T,
        request: PermitRequest,
    ) {
        waiting += Waiting(identifier, request)
    }

    /**
     * Removes and returns the requests that are granted or denied at [now].
     *
     * @param requestsPerSecond limit of the instance, null if it has lifted the limit
     */
    public fun advance(
        requestsPerSecond: Double?,
        now: Moment,
    ): List<PermitOutcome<T>> {
        if (requestsPerSecond == null) return waiting.map { granted(it) }.also { waiting.clear() }
        val interval = intervalOf(requestsPerSecond)
        val outcomes = ArrayList<PermitOutcome<T>>()
        while (waiting.isNotEmpty() && now >= lastPermitAt + interval) {
            val next = waiting.minWith(order(now))
            waiting -= next
            if (next.request.latest < now) {
                outcomes += denied(next, interval, now)
            } else {
                lastPermitAt = now
                outcomes += granted(next)
            }
        }
        return outcomes + denyUnreachable(interval, now)
    }

    /** Removes and returns all waiting requests. */
    public fun clear(): List<T> = waiting.map { it.identifier }.also { waiting.clear() }

    /** Returns when the next permit is free. */
    public fun nextPermitAt(requestsPerSecond: Double): Moment = lastPermitAt + intervalOf(requestsPerSecond)

    /** Denies those whose turn would come too late behind the requests that go first. */
    private fun denyUnreachable(
        interval: Duration,
        now: Moment,
    ): List<PermitOutcome<T>> {
        val first = maxOf(now, lastPermitAt + interval)
        var position = 0
        val unreachable =
            waiting.sortedWith(order(first)).filter { candidate ->
                val reachable = first + interval * position <= candidate.request.latest
                if (reachable) position += 1
                !reachable
            }
        waiting -= unreachable.toSet()
        return unreachable.map { denied(it, interval, now) }
    }

    private fun order(at: Moment): Comparator<Waiting<T>> = compareBy(PermitRequest.order(at)) { it.request }

    private fun granted(request: Waiting<T>) = PermitOutcome(request.identifier, granted = true, Duration.ZERO)

    /** Tells when a permit is free behind the requests that wait and go before this one. */
    private fun denied(
        request: Waiting<T>,
        interval: Duration,
        now: Moment,
    ): PermitOutcome<T> {
        val first = maxOf(now, lastPermitAt + interval)
        val ahead = waiting.count { order(first).compare(it, request) <= 0 }
        val free = first - now + interval * ahead
        return PermitOutcome(request.identifier, granted = false, free.coerceAtMost(MAXIMUM_INTERVAL))
    }

    private fun intervalOf(requestsPerSecond: Double): Duration =
        if (requestsPerSecond > 0) {
            minOf(1.seconds / (requestsPerSecond * USED_SHARE), MAXIMUM_INTERVAL)
        } else {
            MAXIMUM_INTERVAL
        }

    private class Waiting<T>(
        val identifier: T,
        val request: PermitRequest,
    )

    private companion object {
        /** Sends arrive with jitter, and an instance may refuse one that comes a millisecond before its turn. */
        const val USED_SHARE = 0.95

        /** One request now and then reaches also an instance that accepts none, to learn when that is over. */
        val MAXIMUM_INTERVAL = 10.seconds
    }
}
