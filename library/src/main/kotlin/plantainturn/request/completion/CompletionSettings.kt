package plantainturn.request.completion

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of the handling of requests for answers.
 *
 * @property silenceLimit the time without a token after which an attempt counts as broken
 * @property maximumAttempts attempts of one request at most
 */
public data class CompletionSettings(
    val silenceLimit: Duration = 5.seconds,
    val maximumAttempts: Int = 4,
)
