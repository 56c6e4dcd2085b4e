package plantainturn.version.route

import plantainturn.version.configuration.ModelName
import kotlin.time.Duration

/**
 * A base model that the engines of a service can hold.
 *
 * @property memoryMegabytes accelerator memory that its weights take
 * @property coldLoad time of a load from the weight store
 * @property hostLoad time of a load from the engine's host memory
 * @property diskLoad time of a load from the engine's disk
 * @property adapters the number of adapters it has
 * @property adapterMegabytes accelerator memory that one adapter takes
 */
public data class ServedModel(
    val name: ModelName,
    val memoryMegabytes: Double,
    val coldLoad: Duration,
    val hostLoad: Duration,
    val diskLoad: Duration,
    val adapters: Int,
    val adapterMegabytes: Double,
)
