package plantainturn.request.relay

import plantainturn.process.time.Moment

/**
 * The part of the repetitions that all nodes may make that this node may use.
 *
 * It lapses if it is not confirmed for the term, so that it can be given to others. Confined to one thread.
 */
public class RepetitionShare(
    private val terms: RepetitionShareTerms,
) {
    private var confirmed = 0.0
    private var validUntil = Moment.ORIGIN
    private val earlier = ArrayDeque<Earlier>()

    /** Takes over the [part] that the answer to a report sent at [sentAt] confirms; it lapses when the term is over. */
    public fun confirm(
        part: Double,
        sentAt: Moment,
        now: Moment,
    ) {
        val inForce = fractionAt(now)
        if (part < inForce) earlier.addLast(Earlier(inForce, now))
        if (inForce == 0.0 && confirmed > 0.0) earlier.addLast(Earlier(confirmed, validUntil))
        confirmed = part
        validUntil = sentAt + terms.term
    }

    /** Returns the part that may be used at [now], between 0 and 1. */
    public fun fractionAt(now: Moment): Double = if (now < validUntil) confirmed else 0.0

    /** Returns the largest part that may have been used in the window before [now], and now. */
    public fun maximumWithinWindow(now: Moment): Double {
        val since = now - terms.window
        while (earlier.firstOrNull()?.let { it.until < since } == true) earlier.removeFirst()
        val present = if (validUntil >= since) confirmed else 0.0
        return maxOf(present, earlier.maxOfOrNull { it.part } ?: 0.0)
    }

    private class Earlier(
        val part: Double,
        val until: Moment,
    )
}
