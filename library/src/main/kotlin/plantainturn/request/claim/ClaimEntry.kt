package plantainturn.request.claim

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import plantainturn.connection.log.RecordIdentifier

/**
 * An entry of the claims stream.
 *
 * Entries are idempotent: a duplicate may arrive at any later time and has no further effect.
 *
 * @property claim identifies the attempt to claim the key
 * @property key the key that is claimed
 */
@Serializable
public sealed interface ClaimEntry {
    public val claim: RecordIdentifier
    public val key: ClaimKey

    /** Requests the key for a request whose content has [fingerprint]. */
    @Serializable
    @SerialName("request")
    public data class Request(
        override val claim: RecordIdentifier,
        override val key: ClaimKey,
        val fingerprint: String,
    ) : ClaimEntry

    /** Records the outcome of the run of a granted claim. Only the claimant writes it. */
    @Serializable
    @SerialName("settle")
    public data class Settle(
        override val claim: RecordIdentifier,
        override val key: ClaimKey,
        val outcome: ClaimOutcome,
    ) : ClaimEntry

    /** Releases a claim, granted or not, whose request was not and will not be run. Only the claimant writes it. */
    @Serializable
    @SerialName("release")
    public data class Release(
        override val claim: RecordIdentifier,
        override val key: ClaimKey,
    ) : ClaimEntry

    /** Settles the key as unknown because its claimant may have crashed. The key stays used. Any node may write it. */
    @Serializable
    @SerialName("abandon")
    public data class Abandon(
        override val claim: RecordIdentifier,
        override val key: ClaimKey,
    ) : ClaimEntry
}
