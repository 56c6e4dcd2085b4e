package plantainturn.process.control.ledger

/** The reason why an order may not be issued now. */
public enum class ReservationRefusal {
    /** No report that shows the engine's state under the current lease has arrived yet. */
    NOT_ESTABLISHED,

    /** The ledger has no entry for the upstream. */
    UNKNOWN_UPSTREAM,

    /** The load needs more memory than is left beside what is resident, reserved or in doubt. */
    NO_MEMORY,

    /** An earlier order for the same model or adapter, or an earlier change of role, may still take effect. */
    ORDER_OUTSTANDING,

    /** The adapter's base model is not ready on the upstream, or may be unloaded by an earlier order. */
    BASE_NOT_READY,

    /** An earlier order may still load an adapter of the base model on the upstream. */
    BASE_IN_USE,

    /** The weights are resident already, nothing is there to unload, or the engine has the role already. */
    NOTHING_TO_DO,
}
