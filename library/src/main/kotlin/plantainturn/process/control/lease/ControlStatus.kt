package plantainturn.process.control.lease

/** How far a node follows a control stream. */
public enum class ControlStatus {
    /** It has folded the stream to its end as of the last read. */
    FOLLOWING,

    /** There is more to read. */
    BEHIND,

    /** The log did not answer the last read. */
    UNAVAILABLE,

    /** Records that were not read have expired, and no usable snapshot was found yet. */
    GAP,

    /** A record of a newer rule version was met. Only a newer build can follow the stream further. */
    UNKNOWN_RULE,
}
