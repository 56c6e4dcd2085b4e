package plantainturn.connection.store

/** Why a call to the store is made; each call is billed, refused ones too. */
public enum class StoreCallKind {
    /** The first reading of a topic as a whole. */
    FIRST_READING,

    /** A read that continues the one before, or renews it when its wait is over. */
    READING,

    /** A read in place of one that may have gone silent. */
    REPLACED_READING,

    /** A reading because a peer has read further. */
    CATCH_UP,

    /** A reading as a whole because the store was restored or no longer keeps what follows. */
    WHOLE_READING,

    /** A reading after one that failed. */
    RETRY,

    /** A renewal or release of the issuer's lease. */
    LEASE_RENEWAL,

    /** A reading or append of a node that contends for the lease. */
    LEASE_CLAIM,

    /** A reading of the lease to learn who holds it. */
    HOLDER_LOOK_UP,

    /** Any other call: appends of evidence and of software versions. */
    OTHER,
}
