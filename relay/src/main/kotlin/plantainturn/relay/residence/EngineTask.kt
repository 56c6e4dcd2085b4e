package plantainturn.relay.residence

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import plantainturn.process.time.Moment
import plantainturn.version.configuration.ModelName

/**
 * The issuer's task at one engine: load [wanted], after unloads of [victim] and [furtherVictims] if they are needed.
 *
 * @property victim the model that is unloaded next or was unloaded last
 * @property since when the current phase began, or when the engine accepted the load
 */
internal data class EngineTask(
    val wanted: ModelName?,
    val victim: ModelName?,
    val phase: Phase,
    val since: Moment,
    val reason: String,
    val furtherVictims: PersistentList<ModelName> = persistentListOf(),
) {
    /** The task once [victim] is gone: the next unload if there is one, or the load. */
    fun afterUnload(now: Moment): EngineTask {
        val next = furtherVictims.firstOrNull() ?: return copy(phase = Phase.LOADING, since = now)
        return copy(victim = next, furtherVictims = furtherVictims.removeAt(0), phase = Phase.DEPARTING, since = now)
    }

    enum class Phase {
        /** Nodes are told to stop sending requests for the victim to the engine. */
        DEPARTING,

        /** The engine has accepted the unload of the victim. */
        UNLOADING,

        /** There is room for the load, which has been or will be ordered. */
        LOADING,
    }
}
