package plantainturn.relay.peer

import plantainturn.connection.engine.FenceNumber
import plantainturn.process.control.lease.StoreLease
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.request.relay.NodeShareAllocator
import plantainturn.request.relay.NodeShareTerms

/** Divides what all nodes may use together among them, at the holder of the lease. */
internal class ShareDesk(
    private val lease: StoreLease,
    private val terms: NodeShareTerms,
    private val timer: TimerService,
) {
    private var allocatorFence: FenceNumber? = null
    private var allocator = NodeShareAllocator(terms, Moment.ORIGIN)

    /**
     * Returns the reporting node's share, or null unless this node holds the lease exclusively: two nodes that answered
     * at the same time could allocate the same share twice.
     */
    fun shareFor(report: NodeReport): Double? {
        if (!lease.isExclusive) return null
        changeLease()
        return allocator.renew(report.node, report.repetitionShare, report.sequence, timer.now())
    }

    private fun changeLease() {
        if (lease.fence == allocatorFence) return
        allocatorFence = lease.fence
        val delay = if (lease.isFirstHolder) NodeShareAllocator.ABSENT_AFTER else terms.reclaimAfter
        allocator = NodeShareAllocator(terms, timer.now() + delay)
    }
}
