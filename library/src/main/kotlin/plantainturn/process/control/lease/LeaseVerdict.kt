package plantainturn.process.control.lease

/** Whether an entry took effect when it was folded. */
public enum class LeaseVerdict {
    /** The entry took effect. */
    COUNTED,

    /** The entry came too late or under another fence, and changed nothing. */
    IGNORED,
}
