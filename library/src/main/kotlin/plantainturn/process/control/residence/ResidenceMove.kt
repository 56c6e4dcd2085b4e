package plantainturn.process.control.residence

import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName

/**
 * An order that the planner wants given now.
 *
 * @property reason why, for the log
 * @property wanted the model that an unloaded one makes room for
 * @property fromStore whether it loads from the weight store
 */
public data class ResidenceMove(
    val engine: UpstreamName,
    val action: ResidenceAction,
    val reason: String,
    val fromStore: Boolean = false,
    val wanted: ModelName? = null,
)
