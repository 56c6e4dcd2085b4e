package plantainturn.request.claim

/**
 * Keeps idempotency keys on the platform's log, so that a request with a key runs at most once.
 *
 * Calls block the calling thread up to the implementation's timeout and throw nothing.
 */
public interface ClaimService {
    /**
     * Claims [key] for a request whose content has [fingerprint].
     *
     * The caller may dispatch the request once if, and only if, the result is [ClaimResult.Granted].
     */
    public fun claim(
        key: ClaimKey,
        fingerprint: String,
    ): ClaimResult

    /** Records how the dispatched request of [claim] ended. */
    public fun settle(
        claim: Claim,
        outcome: ClaimOutcome,
    )

    /** Gives the key free. Only for a request that provably was not and will not be dispatched or run. */
    public fun release(claim: Claim)
}
