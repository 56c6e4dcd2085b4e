package plantainturn.process.control.ledger

import plantainturn.connection.engine.EngineOrder

/** What became of a wish to issue an order. */
public sealed interface ReservationResult {
    /** The order may be sent; what it needs is reserved. */
    public data class Reserved(
        val order: EngineOrder,
    ) : ReservationResult

    /** The order must not be sent. */
    public data class Refused(
        val refusal: ReservationRefusal,
    ) : ReservationResult
}
