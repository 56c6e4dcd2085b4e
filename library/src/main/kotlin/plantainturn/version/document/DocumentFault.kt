package plantainturn.version.document

import kotlinx.serialization.Serializable

/**
 * A fault in a JSON document that an operator wrote: a configuration or a settings file.
 *
 * @property path the JSON path of the faulty value, such as `$.models.tiny.memoryMegabytes`
 * @property problem a description of the fault, with the unit if the value has one
 */
@Serializable
public data class DocumentFault(
    val path: String,
    val problem: String,
) {
    override fun toString(): String = "$path: $problem"
}
