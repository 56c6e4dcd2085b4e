package plantainturn.request.claim

/** The decision on a request for a key, which follows from the order of entries in the stream. */
public sealed interface ClaimDecision {
    /** The claim holds the key. */
    public data object Granted : ClaimDecision

    /** Another claim holds the key. */
    public data object InProgress : ClaimDecision

    /** The single run of the key ended with [outcome]. */
    public data class Settled(
        val outcome: ClaimOutcome,
    ) : ClaimDecision

    /** The key was used for a request with different content. */
    public data object Reused : ClaimDecision

    /** The timestamp of the key is not after that of the newest evicted key, so its earlier use can't be ruled out. */
    public data object Expired : ClaimDecision

    /** The team already holds the maximum number of keys. */
    public data object Full : ClaimDecision

    /** The claim was released before, or this is a duplicate of a request that was already decided. */
    public data object Void : ClaimDecision
}
