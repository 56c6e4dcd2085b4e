package plantainturn.process.control.residence

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import plantainturn.version.configuration.ModelName

/**
 * The state that an engine reported when it was asked. It is about 100 ms old on arrival.
 *
 * @property startedAt start time of the engine in Unix milliseconds
 * @property sequence number of orders that the engine has accepted since its start
 * @property busy whether the engine is executing an order
 * @property arrivingAdapters adapters that are being loaded, by base model
 */
public data class EngineReading(
    val startedAt: Long?,
    val sequence: Long,
    val busy: Boolean,
    val residents: PersistentMap<ModelName, PersistentSet<ModelName>>,
    val arrivingAdapters: PersistentMap<ModelName, PersistentSet<ModelName>>,
    val hostCopies: PersistentSet<ModelName>,
    val diskCopies: PersistentSet<ModelName>,
)
