package plantainturn.version.document

import kotlinx.serialization.Serializable

/**
 * One fault of a JSON document that an operator wrote: a configuration or a settings file.
 *
 * @property path the JSON path of the faulty value, such as `$.models.tiny.memoryMegabytes`
 * @property problem what is wrong, with the unit where there is one
 */
@Serializable
public data class DocumentFault(
    val path: String,
    val problem: String,
) {
    override fun toString(): String = "$path: $problem"
}
