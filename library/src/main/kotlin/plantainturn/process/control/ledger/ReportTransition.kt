package plantainturn.process.control.ledger

import kotlin.time.Duration
import kotlinx.collections.immutable.toPersistentMap
import plantainturn.process.time.Moment

/**
 * What a report changes in the ledger of its upstream.
 *
 * A report counts when it was taken after the ledger was opened and is newer than the last one that counted. Residents
 * are then as it shows them: within one incarnation what a newer report lacks is gone, and it can come back only by
 * an order that the ledger still holds.
 *
 * @param orderDelayBound the longest time between the end of a call that sent an order and its effect being visible
 */
internal class ReportTransition(
    private val orderDelayBound: Duration,
) {
    fun apply(
        ledger: UpstreamLedger,
        reading: TimestampedReport,
    ): UpstreamLedger {
        if (!counts(ledger, reading)) return ledger
        val restarted = ledger.report != null && ledger.report.incarnation != reading.report.incarnation
        val followed = ledger.orders.mapValues { (_, order) -> follow(order, reading, restarted) }
        val remaining = followed.filterValues { !isPast(it, reading.takenNoEarlierThan) }
        return ledger.copy(
            report = reading.report,
            reportedAt = reading.takenNoEarlierThan,
            orders = remaining.toPersistentMap(),
        )
    }

    private fun counts(
        ledger: UpstreamLedger,
        reading: TimestampedReport,
    ): Boolean {
        if (reading.takenNoEarlierThan < ledger.openedAt && !showsFence(ledger, reading)) return false
        val last = ledger.report ?: return true
        if (last.incarnation == reading.report.incarnation) return reading.report.sequence > last.sequence
        return reading.takenNoEarlierThan >= ledger.reportedAt
    }

    /** A report with the present fence was taken after the barrier, whatever its age. */
    private fun showsFence(
        ledger: UpstreamLedger,
        reading: TimestampedReport,
    ): Boolean = ledger.refusesOldFences && reading.report.highestFence >= ledger.fence

    private fun follow(
        order: LedgerOrder,
        reading: TimestampedReport,
        restarted: Boolean,
    ): LedgerOrder {
        if (order.phase == OrderPhase.RESERVED || order.phase == OrderPhase.SENDING) return order
        if (order.order.identifier in reading.report.appliedOrders) return order.copy(phase = OrderPhase.ENDED)
        return if (restarted) order.copy(phase = OrderPhase.IN_DOUBT) else order
    }

    private fun isPast(
        order: LedgerOrder,
        moment: Moment,
    ): Boolean {
        val sentAt = order.lastSentAt ?: return false
        if (order.phase == OrderPhase.SENDING) return false
        return moment > sentAt + orderDelayBound
    }
}
