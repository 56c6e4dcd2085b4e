package plantainturn.request.relay

import plantainturn.process.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Hands out the places of one brittle instance, which falls over when it turns away too many requests in a second.
 *
 * Load pattern: a crowd at all nodes wants an instance that is full. Each node knows late what the others have sent, so
 * that together they would send many more than it has room for, above all when a place becomes free or the instance is
 * back. All places therefore come from one queue: no more requests are under way than the instance runs at once. What
 * the nodes report as running counts, and what was granted and is not reported yet. After a refusal fewer places are
 * used for a while. A free place goes to a request in time before a late one, to an urgent one before a less urgent
 * one, and then to the one that waits longest. Confined to one thread.
 *
 * @param T identifies a waiting request
 */
public class PlaceQueue<T> {
    private val waiting = ArrayList<Waiting<T>>()
    private val grants = ArrayList<Grant>()
    private var usedShare = 1.0
    private var usedShareAt = Moment.ORIGIN

    /** Number of waiting requests. */
    public val size: Int
        get() = waiting.size

    /** Adds [request] of [node]; [advance] tells what becomes of it. */
    public fun add(
        identifier: T,
        node: String,
        request: PermitRequest,
        now: Moment,
    ) {
        if (request.refusals > 0) {
            usedShare = (share(now) * REFUSED_FACTOR).coerceAtLeast(LEAST_SHARE)
            usedShareAt = now
        }
        waiting += Waiting(identifier, node, request)
    }

    /**
     * Removes and returns the requests that are granted or denied at [now].
     *
     * @param places the number of requests that the instance runs at once
     * @param running the number that all nodes have reported to be running there
     * @param reportedAt returns when a node last reported, null if it is not known
     */
    public fun advance(
        places: Int,
        running: Int,
        now: Moment,
        reportedAt: (String) -> Moment?,
    ): List<PermitOutcome<T>> {
        grants.removeAll { grant ->
            val reported = reportedAt(grant.node)
            grant.until <= now || reported != null && reported > grant.at + REPORT_WAY
        }
        val outcomes = ArrayList<PermitOutcome<T>>()
        val usable = (places * share(now)).toInt().coerceAtLeast(1)
        var free = usable - running - grants.size
        while (free > 0 && waiting.isNotEmpty()) {
            val next = waiting.minWith(order(now))
            waiting -= next
            if (next.request.latest < now) {
                outcomes += denied(next)
            } else {
                grants += Grant(next.node, now, now + maxOf(next.request.hold, LEAST_HOLD))
                outcomes += PermitOutcome(next.identifier, granted = true, Duration.ZERO)
                free -= 1
            }
        }
        val late = waiting.filter { it.request.latest <= now }
        val beyond = (waiting - late.toSet()).sortedWith(order(now)).drop(usable)
        waiting -= (late + beyond).toSet()
        return outcomes + (late + beyond).map(::denied)
    }

    /** Removes and returns all waiting requests. */
    public fun clear(): List<T> = waiting.map { it.identifier }.also { waiting.clear() }

    private fun share(now: Moment): Double =
        (usedShare + (now - usedShareAt).toDouble(DurationUnit.SECONDS) * SHARE_REGAINED_PER_SECOND).coerceAtMost(1.0)

    private fun order(at: Moment): Comparator<Waiting<T>> = compareBy(PermitRequest.order(at)) { it.request }

    private fun denied(request: Waiting<T>) = PermitOutcome(request.identifier, granted = false, DENIED_WAIT)

    private class Waiting<T>(
        val identifier: T,
        val node: String,
        val request: PermitRequest,
    )

    private class Grant(
        val node: String,
        val at: Moment,
        val until: Moment,
    )

    private companion object {
        /** A grant reaches its node, and the request the instance, before the node reports it. */
        val REPORT_WAY = 100.milliseconds
        val LEAST_HOLD = 50.milliseconds
        val DENIED_WAIT = 200.milliseconds
        const val REFUSED_FACTOR = 0.7
        const val LEAST_SHARE = 0.2
        const val SHARE_REGAINED_PER_SECOND = 0.1
    }
}
