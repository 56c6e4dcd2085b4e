package plantainturn.process.control.ledger

import kotlinx.collections.immutable.toPersistentMap
import plantainturn.process.time.Moment
import kotlin.time.Duration

/**
 * Applies engine reports to the ledger of their upstream.
 *
 * A report is applied if it was taken after the ledger was opened and is newer than the last one applied. Its residents
 * replace the previous ones: within one incarnation, weights that a newer report lacks are gone and can come back only
 * through an order that the ledger still holds.
 *
 * @param orderDelayBound the longest time between the end of a call that sent an order and its visible effect
 */
internal class ReportTransition(
    private val orderDelayBound: Duration,
) {
    fun apply(
        ledger: UpstreamLedger,
        received: TimestampedReport,
    ): UpstreamLedger {
        if (!isApplicable(ledger, received)) return ledger
        val restarted = ledger.report != null && ledger.report.incarnation != received.report.incarnation
        val updated = ledger.orders.mapValues { (_, order) -> updateOrder(order, received, restarted) }
        val remaining = updated.filterValues { !isExpired(it, received.takenNoEarlierThan) }
        return ledger.copy(
            report = received.report,
            reportedAt = received.takenNoEarlierThan,
            orders = remaining.toPersistentMap(),
        )
    }

    private fun isApplicable(
        ledger: UpstreamLedger,
        received: TimestampedReport,
    ): Boolean {
        if (received.takenNoEarlierThan < ledger.openedAt && !hasCurrentFence(ledger, received)) return false
        val last = ledger.report ?: return true
        if (last.incarnation == received.report.incarnation) return received.report.sequence > last.sequence
        return received.takenNoEarlierThan >= ledger.reportedAt
    }

    /** Returns whether the report shows the current fence: it was then taken after the barrier, whatever its age. */
    private fun hasCurrentFence(
        ledger: UpstreamLedger,
        received: TimestampedReport,
    ): Boolean = ledger.refusesOldFences && received.report.highestFence >= ledger.fence

    private fun updateOrder(
        order: LedgerOrder,
        received: TimestampedReport,
        restarted: Boolean,
    ): LedgerOrder {
        if (order.phase == OrderPhase.RESERVED || order.phase == OrderPhase.SENDING) return order
        if (order.order.identifier in received.report.appliedOrders) return order.copy(phase = OrderPhase.ENDED)
        return if (restarted) order.copy(phase = OrderPhase.IN_DOUBT) else order
    }

    private fun isExpired(
        order: LedgerOrder,
        moment: Moment,
    ): Boolean {
        val sentAt = order.lastSentAt ?: return false
        if (order.phase == OrderPhase.SENDING) return false
        return moment > sentAt + orderDelayBound
    }
}
