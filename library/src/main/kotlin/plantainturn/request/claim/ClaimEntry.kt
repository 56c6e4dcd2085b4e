package plantainturn.request.claim

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import plantainturn.connection.log.RecordIdentifier

/**
 * An entry of a stream of claims.
 *
 * Each entry may come again any time later without a further effect.
 *
 * @property claim names the one attempt to claim a key that the entry is about
 * @property key the key
 */
@Serializable
public sealed interface ClaimEntry {
    public val claim: RecordIdentifier
    public val key: ClaimKey

    /** Asks for the key, for a request whose content has [fingerprint]. */
    @Serializable
    @SerialName("request")
    public data class Request(
        override val claim: RecordIdentifier,
        override val key: ClaimKey,
        val fingerprint: String,
    ) : ClaimEntry

    /** Tells how the run of a granted claim ended. Only its claimant writes it. */
    @Serializable
    @SerialName("settle")
    public data class Settle(
        override val claim: RecordIdentifier,
        override val key: ClaimKey,
        val outcome: ClaimOutcome,
    ) : ClaimEntry

    /** Gives up a claim, granted or not, whose request was not and will not be run. Only its claimant writes it. */
    @Serializable
    @SerialName("release")
    public data class Release(
        override val claim: RecordIdentifier,
        override val key: ClaimKey,
    ) : ClaimEntry

    /** Stops the waiting for a claimant that may be gone. The key stays used. Any node may write it. */
    @Serializable
    @SerialName("abandon")
    public data class Abandon(
        override val claim: RecordIdentifier,
        override val key: ClaimKey,
    ) : ClaimEntry
}
