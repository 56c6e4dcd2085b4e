package plantainturn.request

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How urgent a request is; the first is the most urgent. */
@Serializable
public enum class RequestPriority {
    /** Somebody waits for the answer. */
    @SerialName("interactive")
    INTERACTIVE,

    /** The answer is wanted some time later. */
    @SerialName("batch")
    BATCH,
}
