package plantainturn.request.claim

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import plantainturn.connection.service.HttpField
import plantainturn.version.configuration.SerializableList

/** The outcome of the single run of a key. */
@Serializable
public sealed interface ClaimOutcome {
    /**
     * The service answered.
     *
     * @property bodyBase64 the body in base 64; empty, with [bodyTruncated] set, if it is too large for the log
     */
    @Serializable
    @SerialName("answered")
    public data class Answered(
        val status: Int,
        val headers: SerializableList<HttpField>,
        val bodyBase64: String,
        val bodyTruncated: Boolean = false,
    ) : ClaimOutcome

    /** The call may have run, but no answer is known. */
    @Serializable
    @SerialName("unknown")
    public data object Unknown : ClaimOutcome
}
