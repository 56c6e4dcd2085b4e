package plantainturn.version.route

import kotlinx.collections.immutable.PersistentMap
import plantainturn.version.configuration.ModelName

/**
 * What the engines of one service have in common.
 *
 * @property concurrency requests that one engine runs at once
 * @property cacheTokens tokens that the memory of one engine holds
 * @property weightMegabytes memory of one engine for weights and adapters together
 * @property adapterSlots adapters that one engine holds at once
 * @property storeLoadsPerSecond loads that the weight store allows for all engines together
 */
public data class EngineFleet(
    val concurrency: Int,
    val cacheTokens: Long,
    val weightMegabytes: Double,
    val adapterSlots: Int,
    val storeLoadsPerSecond: Double,
    val models: PersistentMap<ModelName, ServedModel>,
)
