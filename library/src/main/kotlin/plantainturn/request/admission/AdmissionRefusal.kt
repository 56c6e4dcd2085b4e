package plantainturn.request.admission

import plantainturn.process.ResultCode
import kotlin.time.Duration

/**
 * Why a request was not started. Nothing of it was sent to any upstream.
 *
 * @property retryAfter when it is worth coming back, null if it is not
 */
public data class AdmissionRefusal(
    val code: ResultCode,
    val detail: String,
    val retryAfter: Duration?,
)
