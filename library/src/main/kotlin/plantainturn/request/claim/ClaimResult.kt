package plantainturn.request.claim

/** The result of an attempt to claim a key. */
public sealed interface ClaimResult {
    /** The key is claimed for this request. The caller may dispatch it once. */
    public data class Granted(
        val claim: Claim,
    ) : ClaimResult

    /** Another request holds the key, and this node has not seen the end of its run. */
    public data object InProgress : ClaimResult

    /** The single run of the key has ended. */
    public data class Settled(
        val outcome: ClaimOutcome,
    ) : ClaimResult

    /** The key was used for a request with different content. */
    public data object Reused : ClaimResult

    /** The key is older than the window of remembered keys, so whether it was used is unknown. */
    public data object Expired : ClaimResult

    /** The claim was not granted and never will be, for example because the log did not answer in time. */
    public data class Unavailable(
        val reason: String,
    ) : ClaimResult
}
