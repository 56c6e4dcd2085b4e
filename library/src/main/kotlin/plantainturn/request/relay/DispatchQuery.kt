package plantainturn.request.relay

import kotlin.time.Duration

/**
 * What is asked of a decision on dispatch.
 *
 * @property demand what the request asks of an engine, null for a plain service
 * @property urgency rank of its route; 0 is the most urgent
 * @property objectiveLeft time until its answer, or its first event, is late; negative if it is
 * @property timeLeft time until nobody waits for the beginning of its answer any more
 * @property maximumRetryAfter the longest time after which its caller would still come back
 * @property cacheCapacityTokens tokens that an engine's memory holds
 * @property affinity a number that is equal for requests that share a prompt, to spread them alike at all nodes
 */
public data class DispatchQuery(
    val demand: GenerationDemand?,
    val urgency: Int,
    val objectiveLeft: Duration,
    val timeLeft: Duration,
    val maximumRetryAfter: Duration,
    val cacheCapacityTokens: Long,
    val affinity: Long,
)
