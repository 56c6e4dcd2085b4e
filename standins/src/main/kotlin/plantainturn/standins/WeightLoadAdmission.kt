package plantainturn.standins

import kotlinx.serialization.Serializable

/**
 * The weight store's answer to an engine.
 *
 * @property waitMilliseconds the time before the load begins
 * @property loadMilliseconds the time that the load takes then
 */
@Serializable
public data class WeightLoadAdmission(
    val waitMilliseconds: Long,
    val loadMilliseconds: Long,
) {
    /** The time until the weights are there. */
    public val totalMilliseconds: Long
        get() = waitMilliseconds + loadMilliseconds
}
