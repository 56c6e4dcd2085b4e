package plantainturn.relay.peer

/**
 * Tracks changes of a map by revision, so that each node receives only what it does not have yet.
 *
 * Load pattern: many entries, of which a few change at any moment, such as the residence of engines, and many nodes
 * that poll several times per second.
 */
internal class KeyedChanges<K, V : Any> {
    private var current: Map<K, V> = emptyMap()
    private val changeRevisions = HashMap<K, Long>()

    /** Increases with each change. */
    var revision: Long = 0
        private set

    /** Replaces the current entries by [entries] and records which of them changed. */
    fun update(entries: Map<K, V>) {
        if (entries === current) return
        val changed = (entries.keys + current.keys).filter { entries[it] != current[it] }
        current = entries
        if (changed.isEmpty()) return
        revision++
        changed.forEach { changeRevisions[it] = revision }
    }

    /** Returns the entries that changed after revision [known], null for a removed one. */
    fun since(known: Long): Map<K, V?> =
        changeRevisions
            .filterValues { it > known }
            .keys
            .associateWith { current[it] }
}
