package plantainturn.process.control.lease

/** Whether a node is up to date with a control stream. */
public enum class ControlStatus {
    /** The node has folded the stream to its end as of the last read. */
    FOLLOWING,

    /** There are more records to read. */
    BEHIND,

    /** The log did not answer the last read. */
    UNAVAILABLE,

    /** Records expired before they were read, and no usable snapshot has been found yet. */
    GAP,

    /** A record has an unknown rule version. Only a newer build can follow the stream any further. */
    UNKNOWN_RULE,
}
