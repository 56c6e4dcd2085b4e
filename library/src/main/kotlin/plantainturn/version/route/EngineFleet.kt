package plantainturn.version.route

import kotlinx.collections.immutable.PersistentMap
import plantainturn.version.configuration.ModelName

/**
 * Describes the properties that all engines of one service share.
 *
 * @property concurrency the number of requests that one engine runs concurrently
 * @property cacheTokens the number of tokens that fit into the cache of one engine
 * @property weightMegabytes memory of one engine for weights and adapters together
 * @property adapterSlots the maximum number of adapters resident on one engine at the same time
 * @property storeLoadsPerSecond loads per second that the weight store allows for all engines together
 */
public data class EngineFleet(
    val concurrency: Int,
    val cacheTokens: Long,
    val weightMegabytes: Double,
    val adapterSlots: Int,
    val storeLoadsPerSecond: Double,
    val models: PersistentMap<ModelName, ServedModel>,
)
