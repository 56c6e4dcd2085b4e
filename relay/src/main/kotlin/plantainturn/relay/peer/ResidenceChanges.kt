package plantainturn.relay.peer

import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName

/**
 * Tracks changes of the engines' residence by revision, so that each node receives only what it does not have yet.
 *
 * Load pattern: many engines, of which a few load or unload adapters at any moment, and many nodes that poll several
 * times per second.
 */
internal class ResidenceChanges {
    private var current: Map<UpstreamName, Map<ModelName, Set<ModelName>>> = emptyMap()
    private val changeRevisions = HashMap<UpstreamName, Long>()

    /** Increases with each change. */
    var revision: Long = 0
        private set

    /** Replaces the current residence by [residence] and records which engines changed. */
    fun update(residence: Map<UpstreamName, Map<ModelName, Set<ModelName>>>) {
        if (residence === current) return
        val changed = (residence.keys + current.keys).filter { residence[it] != current[it] }
        current = residence
        if (changed.isEmpty()) return
        revision++
        changed.forEach { changeRevisions[it] = revision }
    }

    /** Returns the models and adapters of engines that changed after revision [known], null for a removed engine. */
    fun since(known: Long): Map<String, Map<String, List<String>>?> =
        changeRevisions
            .filterValues { it > known }
            .keys
            .associate { engine ->
                engine.value to
                    current[engine]?.entries?.associate { (model, adapters) ->
                        model.value to adapters.map { it.value }
                    }
            }
}
