package plantainturn.standins

import kotlinx.serialization.Serializable

/** What an engine asks the weight store for. */
@Serializable
public data class WeightLoadRequest(
    val name: String,
    val weightsVersion: String,
    val adapter: Boolean = false,
)
