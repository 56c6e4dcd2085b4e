package plantainturn.request.service

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of the handling of calls to plain services.
 *
 * @property maximumAttempts attempts of one call at most
 * @property keyPollPeriod the time between two looks at a key whose first run is in progress
 * @property keyWaitLimit the time that a call waits for another call with its key at most
 * @property recordedBodyBytes the size of an answer's body up to which the key's record holds it
 */
public data class ServiceSettings(
    val maximumAttempts: Int = 3,
    val keyPollPeriod: Duration = 50.milliseconds,
    val keyWaitLimit: Duration = 3.seconds,
    val recordedBodyBytes: Int = 16_384,
)
