package plantainturn.process.control.ledger

import kotlinx.serialization.Serializable
import plantainturn.connection.engine.EngineOrder

/**
 * An order that may still act, as `dump` shows it.
 *
 * @property sends the number of calls that sent it
 */
@Serializable
public data class OrderView(
    val order: EngineOrder,
    val phase: OrderPhase,
    val sends: Int,
)
