package plantainturn.connection.roster

import plantainturn.process.time.Moment

/**
 * What an answer of an instance said about its limit on requests, and between which moments it said so.
 *
 * Answers overtake each other, so the order in which they arrive is not the order in which the instance wrote them.
 *
 * @property requestsPerSecond requests per second that it accepts from all nodes together, null if it named no limit
 * @property askedAt when the answered request was sent, [Moment.ORIGIN] if unknown; the instance answered later
 * @property heardAt when the answer arrived; the instance answered earlier
 */
public data class LimitStatement(
    val requestsPerSecond: Double?,
    val askedAt: Moment,
    val heardAt: Moment,
) {
    /** Returns whether the instance certainly made this statement after [other]. */
    public fun isAfter(other: LimitStatement): Boolean = askedAt > other.heardAt

    /** Returns whether this statement allows fewer requests than [other]. */
    public fun isStricterThan(other: LimitStatement): Boolean {
        val limit = requestsPerSecond ?: return false
        return other.requestsPerSecond?.let { limit < it } ?: true
    }
}
