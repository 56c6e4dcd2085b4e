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

/** Exchanges reports and orders with one engine. It is used by one thread at a time. */
internal class UpstreamIssuer(
    private val upstream: UpstreamName,
    private val engine: ModelEngine,
    private val session: ControlSession,
    private val keeper: LeaseKeeper,
    private val timer: TimerService,
    private val settings: ControllerSettings,
) {
    /** Reads a report, sends the barrier if one is due and sends unanswered orders again. */
    fun exchange() {
        readReport()
        val ledger = session.ledger.get(upstream) ?: return
        if (ledger.needsBarrier) sendBarrier(ledger)
        ledger.orders.values.forEach { resendIfDue(ledger, it) }
    }

    /** Sends [order], for which the ledger has reserved what it needs. */
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
     * Raises the engine's fence. A holder past its term does not: an engine that restarted has forgotten the fence of a
     * successor, which would no longer keep this holder out.
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
