package plantainturn.connection.log.internal

import plantainturn.connection.log.SnapshotPart

/** Puts the parts of snapshots together as they are met in a stream. Holds a bounded number of incomplete ones. */
internal class SnapshotAssembler {
    private val incomplete = LinkedHashMap<String, MutableMap<Int, SnapshotPart>>()

    /** Adds [part] and returns the text of its snapshot if that is now complete. */
    fun add(part: SnapshotPart): String? {
        if (part.parts == 1) return part.text
        val parts = incomplete.getOrPut(part.identifier) { mutableMapOf() }
        parts[part.part] = part
        dropOldest()
        if (parts.size < part.parts) return null
        incomplete.remove(part.identifier)
        return join(parts)
    }

    private fun join(parts: Map<Int, SnapshotPart>): String = parts.toSortedMap().values.joinToString("") { it.text }

    private fun dropOldest() {
        if (incomplete.size > LIMIT) incomplete.remove(incomplete.keys.first())
    }

    private companion object {
        const val LIMIT = 16
    }
}
