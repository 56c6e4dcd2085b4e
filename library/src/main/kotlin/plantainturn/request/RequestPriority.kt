package plantainturn.request

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The priority of a request, in descending order of urgency. */
@Serializable
public enum class RequestPriority {
    /** Someone is waiting for the answer. */
    @SerialName("interactive")
    INTERACTIVE,

    /** The answer is not needed immediately. */
    @SerialName("batch")
    BATCH,
}
