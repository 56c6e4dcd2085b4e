package plantainturn.request.relay

import plantainturn.process.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides how long one request waits for a model that is resident nowhere, or for an adapter.
 *
 * Load pattern: demand moves to models that are nowhere, and more loads are due than engines carry out at once. A load
 * that arrives in time is waited for. While none is planned a part of the caller's time is, as the plan may still come;
 * callers come back once, so that what is turned away early is mostly lost. A load that is no longer announced has
 * just ended, and its news is on the way.
 *
 * @param since when the request began to wait
 * @param left how long the caller waited for the beginning of its answer then
 */
public class ResidenceWaitLimit(
    private val since: Moment,
    private val left: Duration,
) {
    private var announcedAt: Moment? = null

    /**
     * Whether the request goes on waiting for its model at [now].
     *
     * @param arrival when the model should be there, null if no load is known
     * @param leftNow how long the caller still waits for the beginning of its answer
     */
    public fun shouldWaitForModel(
        arrival: Duration?,
        leftNow: Duration,
        now: Moment,
    ): Boolean {
        if (arrival != null) {
            announcedAt = now
            return arrival < leftNow * WORTH_WAITING
        }
        return now - (announcedAt ?: since) < maxOf(PLAN_PATIENCE, left * PLAN_SHARE)
    }

    /** Whether the request goes on waiting for its adapter at [now]. */
    public fun shouldWaitForAdapter(now: Moment): Boolean = now - since < maxOf(ADAPTER_PATIENCE, left * ADAPTER_SHARE)

    private companion object {
        /** Part of the time left within which a model must arrive; the rest is for its queue and the first event. */
        const val WORTH_WAITING = 0.75

        /** The issuer hears of a waiting request and plans within two exchanges, a new issuer within a second. */
        val PLAN_PATIENCE = 900.milliseconds

        /** Leaves time for a load that is planned late. */
        const val PLAN_SHARE = 0.3

        /** An adapter takes milliseconds; what takes longer is an engine whose places are in use, or a base model. */
        val ADAPTER_PATIENCE = 500.milliseconds
        const val ADAPTER_SHARE = 0.5
    }
}
