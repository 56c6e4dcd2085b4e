package plantainturn.request.claim

/** What an attempt to claim a key gave. */
public sealed interface ClaimResult {
    /** The key is claimed for this request; dispatch it once. */
    public data class Granted(
        val claim: Claim,
    ) : ClaimResult

    /** Another request holds the key and its run has not been seen to end. */
    public data object InProgress : ClaimResult

    /** The key's one run has ended. */
    public data class Settled(
        val outcome: ClaimOutcome,
    ) : ClaimResult

    /** The key was used for a request with another content. */
    public data object Reused : ClaimResult

    /** It can't be known whether the key was used: it is older than the window of kept keys. */
    public data object Expired : ClaimResult

    /** The log did not answer in time. The claim was not granted and will never be. */
    public data class Unavailable(
        val reason: String,
    ) : ClaimResult
}
