package plantainturn.process.control.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides how long a node waits before it contends for the lease, by what its VM bears.
 *
 * Load pattern: VMs of uneven size that all find the lease free at the same moment. The issuer answers all other nodes,
 * and one that is starved is taken for lost again and again. Stronger VMs claim first; weaker ones only if none does.
 */
public object IssuerFitness {
    /** What the issuer's work needs with room to spare. */
    private const val SUFFICIENT_PROCESSOR_SHARE = 1.0
    private const val SUFFICIENT_LINK_MEGABITS = 50.0

    /** Several times what a claim takes. */
    private val MAXIMUM_CLAIM_DELAY = 800.milliseconds

    /** A node that lags has unread news of the issuer; it reads them in this time. */
    private val MINIMUM_CLAIM_DELAY = 100.milliseconds

    /**
     * Returns how long a node that finds no issuer waits before it contends.
     *
     * @param processorShare what its VM has of a core; null if it is not known; such a node waits as a strong one does
     * @param linkMegabits what its VM's link carries in a second; null if it is not known
     */
    public fun claimDelay(
        processorShare: Double?,
        linkMegabits: Double?,
    ): Duration {
        val processor = (processorShare ?: SUFFICIENT_PROCESSOR_SHARE) / SUFFICIENT_PROCESSOR_SHARE
        val link = (linkMegabits ?: SUFFICIENT_LINK_MEGABITS) / SUFFICIENT_LINK_MEGABITS
        return maxOf(MINIMUM_CLAIM_DELAY, MAXIMUM_CLAIM_DELAY * (1.0 - minOf(processor, link, 1.0)))
    }
}
