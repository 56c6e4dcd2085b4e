package plantainturn.process.control.controller.internal

import plantainturn.connection.engine.EngineAction
import plantainturn.connection.engine.EngineOrder
import plantainturn.connection.engine.EngineReportResult
import plantainturn.connection.engine.ModelEngine
import plantainturn.connection.engine.OrderIdentifier
import plantainturn.connection.engine.OrderResult
import plantainturn.process.control.controller.ControllerSettings
import plantainturn.process.control.lease.LeaseKeeper
import plantainturn.process.control.ledger.LedgerOrder
import plantainturn.process.control.ledger.OrderPhase
import plantainturn.process.control.ledger.TimestampedReport
import plantainturn.process.control.ledger.UpstreamLedger
import plantainturn.process.time.TimerService
import plantainturn.version.configuration.UpstreamName

/** Reads the reports of one engine and sends orders to it. Not thread-safe: used by one thread at a time. */
internal class UpstreamIssuer(
    private val upstream: UpstreamName,
    private val engine: ModelEngine,
    private val session: ControlSession,
    private val keeper: LeaseKeeper,
    private val timer: TimerService,
    private val settings: ControllerSettings,
) {
    /** Reads a report, sends a barrier if one is needed, and resends orders that are due without an answer. */
    fun exchange() {
        readReport()
        val ledger = session.ledger.get(upstream) ?: return
        if (ledger.needsBarrier) sendBarrier(ledger)
        ledger.orders.values.forEach { resendIfDue(ledger, it) }
    }

    /** Sends [order], whose resources the ledger has reserved, or withdraws it if it may not be sent. */
    fun send(order: EngineOrder) {
        val ledger = session.ledger.get(upstream) ?: return
        if (!maySend(ledger)) {
            session.ledger.withdraw(upstream, order.identifier)
            return
        }
        if (!session.ledger.beginSend(upstream, order.identifier)) return
        val result = engine.order(order)
        session.ledger.endSend(upstream, order.identifier, result, timer.now())
        noteFence(result)
    }

    private fun readReport() {
        val askedAt = timer.now()
        val result = engine.report() as? EngineReportResult.Reported ?: return
        session.ledger.report(upstream, TimestampedReport.of(result.report, askedAt))
        if (session.ledger.get(upstream)?.refusesOldFences == true) keeper.observeFence(result.report.highestFence)
    }

    /**
     * Raises the engine's fence, unless the term of the lease has ended: an engine that restarted no longer knows the
     * fence of a successor, and would accept orders of this holder again.
     */
    private fun sendBarrier(ledger: UpstreamLedger) {
        val lease = keeper.lease ?: return
        if (lease.fence != ledger.fence || timer.now() >= lease.validUntil) return
        val identifier = OrderIdentifier(ledger.fence, BARRIER_SEQUENCE)
        noteFence(engine.order(EngineOrder(identifier, EngineAction.Barrier)))
    }

    private fun resendIfDue(
        ledger: UpstreamLedger,
        order: LedgerOrder,
    ) {
        if (order.phase != OrderPhase.SENT) return
        val sentAt = order.lastSentAt ?: return
        if (timer.now() < sentAt + settings.resendAfter) return
        if (order.sends >= settings.maximumSends) {
            session.ledger.giveUp(upstream, order.order.identifier)
        } else if (maySend(ledger)) {
            send(order.order)
        }
    }

    private fun maySend(ledger: UpstreamLedger): Boolean = keeper.permits(ledger.fence, ledger.refusesOldFences)

    private fun noteFence(result: OrderResult) {
        if (result is OrderResult.StaleFence) keeper.observeFence(result.highest)
    }

    private companion object {
        const val BARRIER_SEQUENCE = 0L
    }
}
