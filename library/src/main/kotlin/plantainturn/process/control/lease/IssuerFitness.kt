package plantainturn.process.control.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Determines how long a node waits before it contends for the lease, from the resources of its VM.
 *
 * VMs of uneven size may all find the lease free at the same moment. The issuer answers all other nodes, and an issuer
 * on a VM that is too small is repeatedly taken for lost. Stronger VMs therefore claim first, weaker ones only if no
 * other does.
 */
public object IssuerFitness {
    /** The resources that suffice for the work of the issuer, with headroom. */
    private const val SUFFICIENT_PROCESSOR_SHARE = 1.0
    private const val SUFFICIENT_LINK_MEGABITS = 50.0

    /** Several times the duration of a claim. */
    private val MAXIMUM_CLAIM_DELAY = 800.milliseconds

    /** Long enough for a lagging node to read pending messages from the issuer. */
    private val MINIMUM_CLAIM_DELAY = 100.milliseconds

    /**
     * Returns how long a node that finds no issuer waits before it contends.
     *
     * @param processorShare the share of a core that the VM has; null if unknown, which counts as sufficient
     * @param linkMegabits the bandwidth of the VM's link in megabits per second; null if unknown, which counts as
     * sufficient
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
