package plantainturn.process.control.ledger

/** Why an order must not be issued now. */
public enum class ReservationRefusal {
    /** No report that shows the state under the present lease has arrived yet. */
    NOT_ESTABLISHED,

    /** The ledger does not know the upstream. */
    UNKNOWN_UPSTREAM,

    /** The memory that is not held, reserved or in doubt does not suffice. */
    NO_MEMORY,

    /** An earlier order for the same model or adapter may still act. */
    ORDER_OUTSTANDING,

    /** The adapter's base model is not ready on the upstream, or is about to leave it. */
    BASE_NOT_READY,

    /** An adapter of the base model is being loaded on the upstream. */
    BASE_IN_USE,

    /** The weights are there already, or there is nothing to unload. */
    NOTHING_TO_DO,
}
