package plantainturn.request.relay

import plantainturn.process.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides how long one request waits for a model that is resident nowhere, or for an adapter.
 *
 * Load pattern: demand moves to models that are not resident, and more loads are due than engines can carry out at
 * once. The request waits for a load that completes in time. While none is planned it waits a fraction of the caller's
 * time, as the plan may still come; callers retry only once, so that requests rejected early are mostly lost. A load
 * that is no longer announced has just ended, and the report of the resident model is on its way.
 *
 * @param waitingSince when the request began to wait
 * @param initialTimeLeft how long the caller would wait for the beginning of its answer then
 */
public class ResidenceWaitLimit(
    private val waitingSince: Moment,
    private val initialTimeLeft: Duration,
) {
    private var announcedAt: Moment? = null

    /**
     * Returns whether the request continues to wait for its model at [now].
     *
     * @param arrival time until the model should be resident, null if no load is known
     * @param timeLeft how long the caller still waits for the beginning of its answer
     */
    public fun shouldWaitForModel(
        arrival: Duration?,
        timeLeft: Duration,
        now: Moment,
    ): Boolean {
        if (arrival != null) {
            announcedAt = now
            return arrival < timeLeft * MAXIMUM_ARRIVAL_SHARE
        }
        return now - (announcedAt ?: waitingSince) < maxOf(MINIMUM_PLAN_WAIT, initialTimeLeft * PLAN_WAIT_SHARE)
    }

    /** Returns whether the request continues to wait for its adapter at [now]. */
    public fun shouldWaitForAdapter(now: Moment): Boolean =
        now - waitingSince < maxOf(MINIMUM_ADAPTER_WAIT, initialTimeLeft * ADAPTER_WAIT_SHARE)

    private companion object {
        /**
         * Fraction of the time left within which a model must arrive; the rest is for its queue and the first event.
         */
        const val MAXIMUM_ARRIVAL_SHARE = 0.75

        /** The issuer learns of a waiting request and plans within two exchanges, a new issuer within a second. */
        val MINIMUM_PLAN_WAIT = 900.milliseconds

        /** Leaves time for a load that is planned late. */
        const val PLAN_WAIT_SHARE = 0.3

        /**
         * An adapter loads in milliseconds.
         *
         * A longer wait means that the engine's adapter slots are in use, or that a base model is missing.
         */
        val MINIMUM_ADAPTER_WAIT = 500.milliseconds
        const val ADAPTER_WAIT_SHARE = 0.5
    }
}
