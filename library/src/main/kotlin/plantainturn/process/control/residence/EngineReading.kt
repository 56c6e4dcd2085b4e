package plantainturn.process.control.residence

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import plantainturn.version.configuration.ModelName

/**
 * What an engine said of itself in answer to a question. It was true some 100 ms before.
 *
 * @property startedAt Unix milliseconds of the engine's start
 * @property sequence orders that this run of the engine has accepted
 * @property busy whether it is carrying out an order
 * @property arrivingAdapters adapters on their way, by base model
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
