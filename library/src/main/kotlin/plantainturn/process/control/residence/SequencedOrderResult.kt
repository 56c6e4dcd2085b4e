package plantainturn.process.control.residence

import plantainturn.connection.engine.FenceNumber

/** How an engine answered an order. */
public sealed interface SequencedOrderResult {
    /** It is being carried out, or has been. */
    public data object Accepted : SequencedOrderResult

    /** The engine already holds what the order asks for; its sequence has not moved. */
    public data object AlreadyHolds : SequencedOrderResult

    /** Another order is under way, or the engine's sequence is another one. */
    public data object OutOfStep : SequencedOrderResult

    /** The engine has seen a later fence than the order's; [seen] if it told which. */
    public data class StaleFence(
        val seen: FenceNumber?,
    ) : SequencedOrderResult

    /** The engine will not carry it out, whenever it is sent. */
    public data class Invalid(
        val reason: String,
    ) : SequencedOrderResult

    /** There was no answer: it may be carried out, now or seconds later. */
    public data class Unknown(
        val reason: String,
    ) : SequencedOrderResult
}
