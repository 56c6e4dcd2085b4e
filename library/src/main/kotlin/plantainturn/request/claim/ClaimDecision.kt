package plantainturn.request.claim

/** What the stream's order made of a request for a key. */
public sealed interface ClaimDecision {
    /** The key is the claimant's. */
    public data object Granted : ClaimDecision

    /** Another claim holds the key. */
    public data object InProgress : ClaimDecision

    /** The key's one run has ended with [outcome]. */
    public data class Settled(
        val outcome: ClaimOutcome,
    ) : ClaimDecision

    /** The key was used for another content. */
    public data object Reused : ClaimDecision

    /** The key's time is not after that of the newest key that was forgotten. */
    public data object Expired : ClaimDecision

    /** The team holds as many keys as it may. */
    public data object HeldLimitReached : ClaimDecision

    /** The claim was given up, or this is a copy of a request that was judged before. */
    public data object Void : ClaimDecision
}
