package plantainturn.process.control.ledger

import kotlinx.serialization.Serializable
import plantainturn.connection.engine.EngineOrder

/**
 * An order that may still take effect, as shown by `dump`.
 *
 * @property sends the number of calls that have sent the order
 */
@Serializable
public data class OrderView(
    val order: EngineOrder,
    val phase: OrderPhase,
    val sends: Int,
)
