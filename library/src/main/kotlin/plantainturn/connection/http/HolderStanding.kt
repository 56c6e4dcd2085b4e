package plantainturn.connection.http

/** What would be lost with the memory of a holder. [HeldBytes] gives up holders of earlier entries first. */
public enum class HolderStanding {
    /** The other side has neither sent nor taken any bytes for a while. */
    STALLED,

    /** The message is still arriving, and nothing was done with it. */
    INCOMPLETE,

    /** The message is in use; it is never given up. */
    IN_USE,
}
