package plantainturn.request.relay

import kotlin.time.Duration

/**
 * The request's properties that a dispatch decision depends on.
 *
 * @property demand what the request needs of an engine, null for a plain service
 * @property urgency rank of its route; 0 is the most urgent
 * @property objectiveLeft time until its answer, or its first event, misses the objective; negative if it already did
 * @property timeLeft time until the caller stops waiting for the beginning of the answer
 * @property maximumRetryAfter the longest retry delay after which its caller would still come back
 * @property cacheCapacityTokens tokens that an engine's KV cache holds
 * @property affinity hash that is equal for requests that share a prompt, so that all nodes prefer the same copy
 * @property sharesPrompt whether other requests share a part of its prompt; if not, [affinity] only spreads requests
 */
public data class DispatchQuery(
    val demand: GenerationDemand?,
    val urgency: Int,
    val objectiveLeft: Duration,
    val timeLeft: Duration,
    val maximumRetryAfter: Duration,
    val cacheCapacityTokens: Long,
    val affinity: Long,
    val sharesPrompt: Boolean = true,
)
