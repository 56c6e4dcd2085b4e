package plantainturn.request.relay

import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration

/**
 * An instance that could take a request, as the decision sees it.
 *
 * @property concurrency requests that it runs at once
 * @property running requests of all nodes that are there
 * @property prefillTokens prompt tokens ahead of the request
 * @property prefillShare part of its time that it lately spent on reading prompts
 * @property usedCacheTokens cache tokens that are taken
 * @property cachedTokens tokens of the request's prompt that it has kept
 * @property sameDomain whether it is in the failure domain of this node
 * @property connected whether this node has a connection there that no request uses; new ones cost
 * @property suspected whether requests should go elsewhere
 * @property answerSeconds how long it takes for a whole answer, null if unknown
 * @property backoffRemaining how much longer it asked to be sent nothing, null if it did not
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
)
