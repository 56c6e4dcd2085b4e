package plantainturn.standins

import kotlinx.serialization.Serializable

/**
 * What [WeightStoreStandIn] admitted.
 *
 * @property beyondLimits admissions that had to wait for the rate or ran slower than at full speed
 */
@Serializable
public data class WeightStoreTruth(
    val modelLoads: Long,
    val adapterLoads: Long,
    val beyondLimits: Long,
    val mostConcurrentModelLoads: Int,
    val mostConcurrentAdapterLoads: Int,
)
