package plantainturn.version.route

import plantainturn.version.configuration.ModelName
import kotlin.time.Duration

/**
 * A base model that the engines of a service can load.
 *
 * @property memoryMegabytes accelerator memory that its weights occupy
 * @property coldLoad load time from the weight store
 * @property hostLoad load time from the engine's host memory
 * @property diskLoad load time from the engine's disk
 * @property adapters the number of adapters of this model
 * @property adapterMegabytes accelerator memory that one adapter occupies
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
