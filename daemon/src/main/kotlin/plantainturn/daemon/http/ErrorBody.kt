package plantainturn.daemon.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What went wrong with a request.
 *
 * @property type what is known about the execution: `not_run`, `failed` or `unknown`
 * @property code the number of the result code
 * @property name the name of the result code
 */
@Serializable
internal data class ErrorBody(
    val message: String,
    val type: String,
    val code: Int,
    val name: String,
    val request: String,
    @SerialName("retry_after_ms")
    val retryAfterMilliseconds: Long? = null,
)
