package plantainturn.request.relay

import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration

/**
 * An instance that could take a request, as seen by the dispatch decision.
 *
 * @property concurrency requests that it runs at once
 * @property running requests of all nodes at the instance, running or queued
 * @property prefillTokens prompt tokens that it has to process before those of the request
 * @property prefillShare recent fraction of its time spent on prefill; above 1 if more arrives than it can process
 * @property usedCacheTokens KV cache tokens in use
 * @property cachedTokens tokens of the request's prompt that are in its prefix cache
 * @property sameDomain whether it is in the failure domain of this node
 * @property connected whether this node has an idle connection to it; opening a new one takes time
 * @property suspected whether requests should go elsewhere because requests to it failed
 * @property answerSeconds how long a whole answer takes, null if unknown
 * @property backoffRemaining how much longer it must be sent no requests, null if it may be
 * @property permitWait time until it should accept a request, null if it does not limit its requests
 * @property pace how fast it works, null if it never stated it, so that dispatch goes by nominal times and
 *   [answerSeconds]
 */
public data class DispatchCandidate(
    val name: UpstreamName,
    val concurrency: Int,
    val running: Int,
    val prefillTokens: Int,
    val prefillShare: Double,
    val usedCacheTokens: Int,
    val cachedTokens: Int,
    val sameDomain: Boolean,
    val connected: Boolean,
    val suspected: Boolean,
    val answerSeconds: Double?,
    val backoffRemaining: Duration? = null,
    val permitWait: Duration? = null,
    val pace: PaceEstimate? = null,
)
