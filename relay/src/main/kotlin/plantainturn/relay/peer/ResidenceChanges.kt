package plantainturn.relay.peer

import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName

/**
 * Tells nodes what has changed in the residence of engines since they were last told.
 *
 * Load pattern: many engines of which a few take or drop adapters at any moment, and many nodes that ask several times
 * a second.
 */
internal class ResidenceChanges {
    private var present: Map<UpstreamName, Map<ModelName, Set<ModelName>>> = emptyMap()
    private val changedAt = HashMap<UpstreamName, Long>()

    /** Grows with each change. */
    var revision: Long = 0
        private set

    /** Takes over that engines now hold [residence]. */
    fun update(residence: Map<UpstreamName, Map<ModelName, Set<ModelName>>>) {
        if (residence === present) return
        val changed = (residence.keys + present.keys).filter { residence[it] != present[it] }
        present = residence
        if (changed.isEmpty()) return
        revision++
        changed.forEach { changedAt[it] = revision }
    }

    /** Returns the engines that changed since [known]: their models with adapters, null for one that is gone. */
    fun since(known: Long): Map<String, Map<String, List<String>>?> =
        changedAt
            .filterValues { it > known }
            .keys
            .associate { engine ->
                engine.value to
                    present[engine]?.entries?.associate { (model, adapters) ->
                        model.value to adapters.map { it.value }
                    }
            }
}
