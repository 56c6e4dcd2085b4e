package plantainturn.connection.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What went wrong, in an [ErrorAnswer].
 *
 * @property notRun whether the server promises that the request had no effect and will have none
 */
@Serializable
public data class ErrorDetail(
    val message: String,
    @SerialName("not_run")
    val notRun: Boolean = false,
)
