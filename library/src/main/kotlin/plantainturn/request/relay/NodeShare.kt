package plantainturn.request.relay

import plantainturn.process.time.Moment
import kotlin.time.Duration

/**
 * Holds the fraction that this node may use of what all nodes may use together: repetitions and quotas of accounts.
 *
 * The fraction is a lease: it lapses if it is not confirmed within the term, so that it can be given to others.
 * Confined to one thread.
 */
public class NodeShare(
    private val terms: NodeShareTerms,
) {
    private var confirmed = 0.0
    private var validUntil = Moment.ORIGIN
    private val past = ArrayDeque<PastFraction>()

    /** Sets the [fraction] confirmed in the answer to a report sent at [sentAt]; it lapses one term after [sentAt]. */
    public fun confirm(
        fraction: Double,
        sentAt: Moment,
        now: Moment,
    ) {
        val current = fractionAt(now)
        if (fraction < current) past.addLast(PastFraction(current, now))
        if (current == 0.0 && confirmed > 0.0) past.addLast(PastFraction(confirmed, validUntil))
        confirmed = fraction
        validUntil = sentAt + terms.term
    }

    /** Returns the fraction that may be used at [now], from 0 to 1. */
    public fun fractionAt(now: Moment): Double = fractionAt(now, terms.term)

    /** Returns the fraction that may be used at [now] by a use for which it lapses after [term], from 0 to 1. */
    public fun fractionAt(
        now: Moment,
        term: Duration,
    ): Double = if (now < validUntil - terms.term + term) confirmed else 0.0

    /** Returns the largest fraction that may have been used at [now] or in the window before it. */
    public fun maximumWithinWindow(now: Moment): Double {
        val since = now - terms.window
        while (past.firstOrNull()?.let { it.until < since } == true) past.removeFirst()
        val latest = if (validUntil >= since) confirmed else 0.0
        return maxOf(latest, past.maxOfOrNull { it.fraction } ?: 0.0)
    }

    private class PastFraction(
        val fraction: Double,
        val until: Moment,
    )
}
