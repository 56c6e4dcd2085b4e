package plantainturn.version.configuration

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/**
 * A change of the configuration that an operator asks for. It is the entry of the configuration's stream.
 *
 * @property identifier names the patch
 * @property madeAgainst the version that the operator saw; the patch is accepted only if that is still in force
 * @property mergePatch a JSON merge patch (RFC 7396) of the configuration
 * @property operator who asks, for the record
 */
@Serializable
public data class ConfigurationPatch(
    val identifier: PatchIdentifier,
    val madeAgainst: ConfigurationVersion,
    val mergePatch: JsonObject,
    val operator: String,
)
