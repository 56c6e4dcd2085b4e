package plantainturn.request.completion

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of the handling of requests for answers.
 *
 * @property silenceLimit the time without a token after which an attempt counts as broken
 * @property maximumAttempts attempts of one request at most
 * @property minimumRunTime the time before the deadline after which a request is no longer started
 */
public data class CompletionSettings(
    val silenceLimit: Duration = 5.seconds,
    val maximumAttempts: Int = 6,
    val minimumRunTime: Duration = 50.milliseconds,
)
