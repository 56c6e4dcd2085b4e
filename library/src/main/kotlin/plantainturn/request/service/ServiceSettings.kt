package plantainturn.request.service

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The limits that apply to each call to a plain service.
 *
 * @property maximumAttempts the maximum number of attempts per call
 * @property keyPollPeriod the time between two attempts to claim a key whose first call is still in progress
 * @property keyWaitLimit the maximum time that a call waits for another call with the same key
 * @property recordedBodyBytes the maximum size of an answer's body that is stored in the key's record
 */
public data class ServiceSettings(
    val maximumAttempts: Int = 3,
    val keyPollPeriod: Duration = 50.milliseconds,
    val keyWaitLimit: Duration = 3.seconds,
    val recordedBodyBytes: Int = 16_384,
)
