package plantainturn.daemon.settings

import kotlinx.serialization.Serializable

/**
 * What one node accepts from callers.
 *
 * @property bodyBytes the largest body of a request
 * @property bodyMilliseconds the time in which a body must arrive
 * @property requestsInFlight requests that run or wait at once, all callers together
 * @property deadlineMilliseconds the time after which an answer is no longer wanted, unless the caller says otherwise
 */
@Serializable
public data class LimitSettings(
    val bodyBytes: Long = DEFAULT_BODY_BYTES,
    val bodyMilliseconds: Long = DEFAULT_BODY_MILLISECONDS,
    val requestsInFlight: Int = DEFAULT_REQUESTS_IN_FLIGHT,
    val deadlineMilliseconds: Long = DEFAULT_DEADLINE_MILLISECONDS,
) {
    private companion object {
        const val DEFAULT_BODY_BYTES = 1_048_576L
        const val DEFAULT_BODY_MILLISECONDS = 10_000L
        const val DEFAULT_REQUESTS_IN_FLIGHT = 256
        const val DEFAULT_DEADLINE_MILLISECONDS = 60_000L
    }
}
