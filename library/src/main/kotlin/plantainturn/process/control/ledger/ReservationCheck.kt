package plantainturn.process.control.ledger

import plantainturn.connection.engine.EngineAction
import plantainturn.connection.engine.EngineOrder
import plantainturn.connection.engine.ResidentState
import plantainturn.version.configuration.ModelName

/** Checks whether an order may be issued, given the ledger of its upstream. */
internal object ReservationCheck {
    /** Returns the reason to refuse [order], or null if it may be issued. */
    fun refusal(
        ledger: UpstreamLedger,
        order: EngineOrder,
    ): ReservationRefusal? {
        if (!ledger.established) return ReservationRefusal.NOT_ESTABLISHED
        return when (val action = order.action) {
            is EngineAction.LoadModel -> loadRefusal(ledger, order)
            is EngineAction.LoadAdapter -> baseRefusal(ledger, action.baseModel) ?: loadRefusal(ledger, order)
            is EngineAction.Unload -> unloadRefusal(ledger, action.name)
            is EngineAction.ChangeRole -> roleRefusal(ledger, action)
            EngineAction.Barrier -> null
        }
    }

    private fun loadRefusal(
        ledger: UpstreamLedger,
        order: EngineOrder,
    ): ReservationRefusal? {
        val weights = Weights.loadedBy(order.action) ?: return null
        if (weights in ledger.residents) return ReservationRefusal.NOTHING_TO_DO
        if (isOutstanding(ledger, weights.name)) return ReservationRefusal.ORDER_OUTSTANDING
        val needed = Weights.memoryNeededBy(order.action)
        return if (needed > ledger.freeMegabytes) ReservationRefusal.NO_MEMORY else null
    }

    private fun baseRefusal(
        ledger: UpstreamLedger,
        base: ModelName,
    ): ReservationRefusal? {
        val ready = ledger.residents.values.any { it.name == base && it.state == ResidentState.READY }
        val leaving = ledger.orders.values.any { it.unloads?.name == base && it.phase != OrderPhase.ENDED }
        return if (ready && !leaving) null else ReservationRefusal.BASE_NOT_READY
    }

    private fun unloadRefusal(
        ledger: UpstreamLedger,
        name: ModelName,
    ): ReservationRefusal? {
        val resident = ledger.residents.values.filter { it.name == name }
        if (resident.isEmpty()) return ReservationRefusal.NOTHING_TO_DO
        if (isOutstanding(ledger, name)) return ReservationRefusal.ORDER_OUTSTANDING
        return if (isBaseInUse(ledger, name)) ReservationRefusal.BASE_IN_USE else null
    }

    private fun isBaseInUse(
        ledger: UpstreamLedger,
        name: ModelName,
    ): Boolean = ledger.orders.values.any { it.isOpen && it.baseModel == name }

    private fun roleRefusal(
        ledger: UpstreamLedger,
        action: EngineAction.ChangeRole,
    ): ReservationRefusal? {
        val outstanding = ledger.orders.values.any { it.isOpen && it.order.action is EngineAction.ChangeRole }
        if (outstanding) return ReservationRefusal.ORDER_OUTSTANDING
        return if (ledger.report?.role == action.role) ReservationRefusal.NOTHING_TO_DO else null
    }

    private fun isOutstanding(
        ledger: UpstreamLedger,
        name: ModelName,
    ): Boolean = ledger.orders.values.any { it.isOpen && (it.loads?.name == name || it.unloads?.name == name) }

    private val LedgerOrder.baseModel: ModelName?
        get() = (order.action as? EngineAction.LoadAdapter)?.baseModel

    private val LedgerOrder.isOpen: Boolean
        get() = phase != OrderPhase.ENDED
}
