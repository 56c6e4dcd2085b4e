package plantainturn.process.control.ledger

import plantainturn.connection.engine.EngineAction
import plantainturn.connection.engine.EngineOrder
import plantainturn.process.time.Moment

/**
 * An order that may still act.
 *
 * @property lastSentAt when the last call that sent it returned, null if it was never sent by this process
 * @property sends the number of calls that sent it
 */
public data class LedgerOrder(
    val order: EngineOrder,
    val phase: OrderPhase,
    val lastSentAt: Moment? = null,
    val sends: Int = 0,
) {
    /** The weights that it loads, null if it loads none. */
    public val loads: Weights?
        get() = Weights.loadedBy(order.action)

    /** Whether it may remove what is resident. */
    public val unloads: EngineAction.Unload?
        get() = order.action as? EngineAction.Unload
}
