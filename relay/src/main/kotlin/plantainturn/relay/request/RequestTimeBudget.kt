package plantainturn.relay.request

import kotlin.time.Duration

/**
 * How much time a request has.
 *
 * @property objectiveLeft time until it is late; negative if it is
 * @property timeLeft time until nobody waits for the beginning of its answer any more
 * @property longestReturn the longest time after which its caller would still come back
 */
internal data class RequestTimeBudget(
    val objectiveLeft: Duration,
    val timeLeft: Duration,
    val longestReturn: Duration,
)
