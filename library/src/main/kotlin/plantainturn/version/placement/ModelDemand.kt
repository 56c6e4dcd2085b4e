package plantainturn.version.placement

import kotlinx.serialization.Serializable

/**
 * The demand for one model or adapter, over all nodes.
 *
 * @property fastRequestsPerSecond average over the last seconds
 * @property slowRequestsPerSecond average over the last minutes
 * @property peakRequestsPerSecond the highest fast average of the last hour
 * @property tokensPerRequest average tokens that one request generates
 * @property waiting requests that wait now
 */
@Serializable
public data class ModelDemand(
    val fastRequestsPerSecond: Double = 0.0,
    val slowRequestsPerSecond: Double = 0.0,
    val peakRequestsPerSecond: Double = 0.0,
    val tokensPerRequest: Double = 0.0,
    val waiting: Int = 0,
)
