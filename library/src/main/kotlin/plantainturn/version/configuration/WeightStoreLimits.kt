package plantainturn.version.configuration

import kotlinx.serialization.Serializable

/**
 * What the weight store admits across all upstreams.
 *
 * @property loadsPerSecond model loads that may begin in a second
 * @property concurrentLoads model loads that run at full speed at once
 * @property concurrentAdapterLoads adapter loads in flight beyond which each takes proportionally longer
 */
@Serializable
public data class WeightStoreLimits(
    val loadsPerSecond: Double = 1.0,
    val concurrentLoads: Int = 3,
    val concurrentAdapterLoads: Int = 25,
)
