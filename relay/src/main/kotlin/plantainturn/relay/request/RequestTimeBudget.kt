package plantainturn.relay.request

import kotlin.time.Duration

/**
 * The remaining time of a request.
 *
 * @property objectiveLeft time until the route's objective is missed; negative if it was missed
 * @property timeLeft how much longer the caller waits for the beginning of the answer
 * @property maximumRetryAfter the longest delay after which the caller would still retry
 */
internal data class RequestTimeBudget(
    val objectiveLeft: Duration,
    val timeLeft: Duration,
    val maximumRetryAfter: Duration,
)
