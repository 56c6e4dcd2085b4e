package plantainturn.version.configuration

import kotlinx.serialization.Serializable

/**
 * One fault of a configuration.
 *
 * @property path the JSON path of the faulty value, such as `$.models.tiny.memoryMegabytes`
 * @property problem what is wrong, with the unit where there is one
 */
@Serializable
public data class ConfigurationFault(
    val path: String,
    val problem: String,
) {
    override fun toString(): String = "$path: $problem"
}
