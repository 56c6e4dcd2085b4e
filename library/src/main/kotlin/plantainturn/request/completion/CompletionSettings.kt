package plantainturn.request.completion

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The limits that apply to each completion request.
 *
 * @property silenceLimit the time without a token after which an attempt is considered broken
 * @property maximumAttempts the maximum number of attempts per request
 * @property minimumRunTime the time that must remain before the deadline for a request to be started
 */
public data class CompletionSettings(
    val silenceLimit: Duration = 5.seconds,
    val maximumAttempts: Int = 6,
    val minimumRunTime: Duration = 50.milliseconds,
)
