package plantainturn.request.admission

import plantainturn.process.ResultCode
import kotlin.time.Duration

/**
 * The reason why a request was not started. No part of it was sent to any upstream.
 *
 * @property retryAfter the time after which the caller may retry, null if a retry makes no sense
 */
public data class AdmissionRefusal(
    val code: ResultCode,
    val detail: String,
    val retryAfter: Duration?,
)
