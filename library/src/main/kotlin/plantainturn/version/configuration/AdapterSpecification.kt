package plantainturn.version.configuration

import kotlinx.serialization.Serializable

/**
 * An adapter of a base model.
 *
 * @property baseModel the model that must be resident on the same upstream
 * @property memoryMegabytes accelerator memory that its weights take
 * @property weightsVersion the version of the weights
 */
@Serializable
public data class AdapterSpecification(
    val baseModel: ModelName,
    val memoryMegabytes: Long,
    val weightsVersion: String = "1",
)
