package plantainturn.process.control.lease

/** What the fold made of an entry. */
public enum class LeaseVerdict {
    /** It took effect. */
    APPLIED,

    /** It came too late or under another fence, and changed nothing. */
    IGNORED,
}
