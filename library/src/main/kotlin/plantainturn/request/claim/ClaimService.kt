package plantainturn.request.claim

/**
 * Stores idempotency keys in the platform's log, so that a request with a key runs at most once.
 *
 * Calls block for at most the timeout of the implementation and throw no exceptions.
 */
public interface ClaimService {
    /**
     * Claims [key] for a request whose content has [fingerprint].
     *
     * The caller may dispatch the request once if and only if the result is [ClaimResult.Granted].
     */
    public fun claim(
        key: ClaimKey,
        fingerprint: String,
    ): ClaimResult

    /** Records the outcome of the dispatched request of [claim]. */
    public fun settle(
        claim: Claim,
        outcome: ClaimOutcome,
    )

    /** Releases the key. Allowed only if the request provably was not and will not be dispatched or run. */
    public fun release(claim: Claim)
}
