package plantainturn.request.relay

import kotlinx.serialization.Serializable
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName

/**
 * A part of a prompt that [engine] has cached for [model] and [adapter], as nodes report it to each other.
 *
 * @property adapter null for the model itself
 * @property part identifier of the part
 */
@Serializable
public data class KeptPart(
    val engine: UpstreamName,
    val model: ModelName,
    val adapter: ModelName?,
    val part: String,
)
