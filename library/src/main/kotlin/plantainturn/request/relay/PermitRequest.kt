package plantainturn.request.relay

import plantainturn.process.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A request for the permit to send one request to an instance that limits its requests.
 *
 * @property urgency rank of the caller's request; 0 is the most urgent
 * @property inTimeUntil until when the permit comes in time for the objective of the caller's request
 * @property latest until when the permit is of use
 * @property places the number of requests that the instance runs at once, if it is brittle; null for a rate only
 * @property hold how long the request should take there, unless the nodes' reports show it sooner
 * @property refusals how many requests the instance has turned away from the node since it last told
 */
public data class PermitRequest(
    val urgency: Int,
    val inTimeUntil: Moment,
    val latest: Moment,
    val places: Int? = null,
    val hold: Duration = Duration.ZERO,
    val refusals: Int = 0,
) {
    public companion object {
        /** Returns the order of requests at [at]: in time before late, then the urgent ones; equal ones keep theirs. */
        internal fun order(at: Moment): Comparator<PermitRequest> = compareBy({ it.inTimeUntil < at }, { it.urgency })

        /** Fraction of the caller's time that may pass before the request is sent; the rest is for the answer. */
        private const val LATE_SHARE = 0.5

        /** A request that waits for longer would be held by an issuer that has failed. */
        private val MAXIMUM_PATIENCE = 2.seconds

        /**
         * Returns how long a caller's request should wait for a permit.
         *
         * A request that would miss its objective waits for the next permit only, so that none is left unused while
         * somebody waits, and no queue of late requests builds up.
         *
         * @param requestsPerSecond limit of the instance
         */
        public fun patience(
            objectiveLeft: Duration,
            timeLeft: Duration,
            requestsPerSecond: Double,
        ): Duration {
            val interval = if (requestsPerSecond > 0) 1.seconds / requestsPerSecond else Duration.INFINITE
            val useful = minOf(timeLeft * LATE_SHARE, MAXIMUM_PATIENCE)
            return minOf(maxOf(objectiveLeft, interval), useful).coerceAtLeast(Duration.ZERO)
        }
    }
}
