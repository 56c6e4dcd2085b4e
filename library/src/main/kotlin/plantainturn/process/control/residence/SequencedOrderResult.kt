package plantainturn.process.control.residence

import plantainturn.connection.engine.FenceNumber

/** The answer of an engine to a [SequencedOrder]. */
public sealed interface SequencedOrderResult {
    /** The order is being executed, or has been. */
    public data object Accepted : SequencedOrderResult

    /** The engine already is in the requested state; its sequence has not changed. */
    public data object AlreadyHolds : SequencedOrderResult

    /** Another order is being executed, or the engine's sequence differs from the expected one. */
    public data object OutOfStep : SequencedOrderResult

    /** The engine has seen a later fence than the order's, which is [seen] if the engine reported it. */
    public data class StaleFence(
        val seen: FenceNumber?,
    ) : SequencedOrderResult

    /** The engine never executes this order, whenever it is sent. */
    public data class Invalid(
        val reason: String,
    ) : SequencedOrderResult

    /** There was no answer, so the order may be executed now or seconds later. */
    public data class Unknown(
        val reason: String,
    ) : SequencedOrderResult
}
