package plantainturn.version.placement

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.SerializableList
import plantainturn.version.configuration.SerializableMap

/**
 * The moves to begin now, in order of urgency, and the reason for what stays.
 *
 * Every move fits the memory that was free in the input, all moves together; an unload frees memory only for a later
 * plan.
 *
 * @property explanations why each model and adapter is where it is, one sentence each
 */
@Serializable
public data class PlacementPlan(
    val moves: SerializableList<PlacementMove> = persistentListOf(),
    val explanations: SerializableMap<ModelName, String> = persistentMapOf(),
)
