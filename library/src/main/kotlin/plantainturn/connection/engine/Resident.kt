package plantainturn.connection.engine

import kotlinx.serialization.Serializable
import plantainturn.version.configuration.ModelName

/**
 * A model or adapter that takes memory on an engine.
 *
 * @property baseModel the base model of an adapter, null for a model
 */
@Serializable
public data class Resident(
    val name: ModelName,
    val weightsVersion: String,
    val memoryMegabytes: Long,
    val state: ResidentState,
    val baseModel: ModelName? = null,
)
