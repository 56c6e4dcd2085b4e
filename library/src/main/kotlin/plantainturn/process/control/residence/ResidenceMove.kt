package plantainturn.process.control.residence

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName

/**
 * An order that the planner wants to be sent now.
 *
 * @property reason the reason for the move, for the log
 * @property wanted the model that replaces an unloaded one, null for a load
 * @property fromStore whether [action] loads from the weight store
 * @property furtherVictims models that have to be unloaded too before the wanted one fits
 */
public data class ResidenceMove(
    val engine: UpstreamName,
    val action: ResidenceAction,
    val reason: String,
    val fromStore: Boolean = false,
    val wanted: ModelName? = null,
    val furtherVictims: PersistentList<ModelName> = persistentListOf(),
)
