package plantainturn.process.control.ledger

import plantainturn.connection.engine.EngineOrder

/** The result of a request to reserve memory for an order. */
public sealed interface ReservationResult {
    /** The order may be sent, and the memory that it needs is reserved. */
    public data class Reserved(
        val order: EngineOrder,
    ) : ReservationResult

    /** The order must not be sent, and nothing is reserved. */
    public data class Refused(
        val refusal: ReservationRefusal,
    ) : ReservationResult
}
