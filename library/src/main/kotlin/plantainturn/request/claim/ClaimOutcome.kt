package plantainturn.request.claim

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import plantainturn.connection.service.HttpField
import plantainturn.version.configuration.SerializableList

/** How the one run of a key ended. */
@Serializable
public sealed interface ClaimOutcome {
    /**
     * The service answered.
     *
     * @property bodyBase64 the body, empty and [bodyTruncated] if it is larger than what the log should hold
     */
    @Serializable
    @SerialName("answered")
    public data class Answered(
        val status: Int,
        val headers: SerializableList<HttpField>,
        val bodyBase64: String,
        val bodyTruncated: Boolean = false,
    ) : ClaimOutcome

    /** The call may have run and there is no answer. */
    @Serializable
    @SerialName("unknown")
    public data object Unknown : ClaimOutcome
}
