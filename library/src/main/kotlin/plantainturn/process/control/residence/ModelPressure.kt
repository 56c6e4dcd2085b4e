package plantainturn.process.control.residence

/**
 * The demand for one base model, over all nodes.
 *
 * @property worthPerSecond worth of the requests that arrive for the model, as a decaying average over seconds
 * @property engineSharesWanted number of engines that its requests would keep busy, as a decaying average over seconds
 * @property adapterWorthPerSecond the part of [worthPerSecond] from requests for adapters
 * @property waiting number of requests that wait until the model is resident
 */
public data class ModelPressure(
    val worthPerSecond: Double = 0.0,
    val engineSharesWanted: Double = 0.0,
    val waiting: Int = 0,
    val adapterWorthPerSecond: Double = 0.0,
)
