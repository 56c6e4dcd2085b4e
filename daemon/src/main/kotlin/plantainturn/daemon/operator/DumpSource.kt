package plantainturn.daemon.operator

import kotlinx.serialization.json.JsonElement

/**
 * One section of a node's state dump.
 *
 * @property section the name of the section
 */
internal class DumpSource(
    val section: String,
    private val read: () -> JsonElement,
) {
    /** Returns the present state of the section. */
    fun dump(): JsonElement = read()
}
