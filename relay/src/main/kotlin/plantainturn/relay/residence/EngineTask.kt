package plantainturn.relay.residence

import plantainturn.process.time.Moment
import plantainturn.version.configuration.ModelName

/**
 * The issuer's task at one engine: load [wanted], after an unload of [victim] if one is needed.
 *
 * @property since when the current phase began, or when the engine accepted the load
 */
internal data class EngineTask(
    val wanted: ModelName?,
    val victim: ModelName?,
    val phase: Phase,
    val since: Moment,
    val reason: String,
) {
    enum class Phase {
        /** Nodes are told to stop sending requests for the victim to the engine. */
        DEPARTING,

        /** The engine has accepted the unload of the victim. */
        UNLOADING,

        /** There is room for the load, which has been or will be ordered. */
        LOADING,
    }
}
