package plantainturn.relay.residence

import plantainturn.process.time.Moment
import plantainturn.version.configuration.ModelName

/**
 * What the issuer is doing at one engine: bringing in [wanted], if need be in place of [victim].
 *
 * @property since when the present phase began
 */
internal data class EngineTask(
    val wanted: ModelName?,
    val victim: ModelName?,
    val phase: Phase,
    val since: Moment,
    val reason: String,
) {
    enum class Phase {
        /** Nodes are told not to send requests for the victim there any more. */
        DEPARTING,

        /** The victim's unload was ordered. */
        UNLOADING,

        /** There is room, and the load is ordered or will be. */
        LOADING,
    }
}
