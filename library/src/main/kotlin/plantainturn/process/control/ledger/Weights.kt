package plantainturn.process.control.ledger

import plantainturn.connection.engine.EngineAction
import plantainturn.connection.engine.Resident
import plantainturn.version.configuration.ModelName

/**
 * One version of the weights of a model or an adapter.
 *
 * Two versions of the same model are distinct weights and both take memory while both are resident.
 */
public data class Weights(
    val name: ModelName,
    val version: String,
) {
    public companion object {
        /** Returns the weights that [action] loads, or null if it loads none. */
        public fun loadedBy(action: EngineAction): Weights? =
            when (action) {
                is EngineAction.LoadModel -> Weights(action.model, action.weightsVersion)
                is EngineAction.LoadAdapter -> Weights(action.adapter, action.weightsVersion)
                is EngineAction.Unload, is EngineAction.ChangeRole, EngineAction.Barrier -> null
            }

        /** Returns the memory in megabytes that [action] needs, 0 if it loads nothing. */
        public fun memoryNeededBy(action: EngineAction): Long =
            when (action) {
                is EngineAction.LoadModel -> action.memoryMegabytes
                is EngineAction.LoadAdapter -> action.memoryMegabytes
                is EngineAction.Unload, is EngineAction.ChangeRole, EngineAction.Barrier -> 0
            }

        /** Returns the weights of [resident]. */
        public fun of(resident: Resident): Weights = Weights(resident.name, resident.weightsVersion)
    }
}
