package plantainturn.process.control.ledger

import plantainturn.connection.engine.EngineAction
import plantainturn.connection.engine.EngineOrder
import plantainturn.process.time.Moment

/**
 * An order that may still take effect.
 *
 * @property lastSentAt when the last call that sent the order returned, null if this process never sent it
 * @property sends the number of calls that have sent the order
 */
public data class LedgerOrder(
    val order: EngineOrder,
    val phase: OrderPhase,
    val lastSentAt: Moment? = null,
    val sends: Int = 0,
) {
    /** The weights that the order loads, null if it loads none. */
    public val loads: Weights?
        get() = Weights.loadedBy(order.action)

    /** The unload action of the order, null if it does not unload anything. */
    public val unloads: EngineAction.Unload?
        get() = order.action as? EngineAction.Unload
}
