package plantainturn.process.control.residence.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.minus
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.plus
import plantainturn.process.control.residence.ResidenceAction
import plantainturn.version.configuration.ModelName
import plantainturn.version.route.EngineFleet

/** Base models with their adapters. */
internal typealias EngineContent = PersistentMap<ModelName, PersistentSet<ModelName>>

/** Returns what an engine holds once [action] is complete. */
internal fun EngineContent.after(action: ResidenceAction): EngineContent {
    val adapter = action.adapter
    val present = this[action.model]
    return when {
        adapter == null && action.kind == ResidenceAction.Kind.LOAD -> put(action.model, present ?: persistentSetOf())
        adapter == null -> remove(action.model)
        present == null -> this
        action.kind == ResidenceAction.Kind.LOAD -> put(action.model, present + adapter)
        else -> put(action.model, present - adapter)
    }
}

/** Returns what [content] takes of an engine of [fleet]. */
internal fun useOf(
    content: EngineContent,
    fleet: EngineFleet,
): EngineUse =
    EngineUse(
        content.entries.sumOf { (model, adapters) ->
            (fleet.models[model]?.memoryMegabytes ?: 0.0) + adapters.size * adapterSize(model, fleet)
        },
        content.values.sumOf { it.size },
    )

/** Returns what [action] adds to [content]; nothing if it is an unload or its object is there already. */
internal fun addedUse(
    action: ResidenceAction,
    content: EngineContent,
    fleet: EngineFleet,
): EngineUse {
    val adapter = action.adapter
    val present = content[action.model]
    return when {
        action.kind == ResidenceAction.Kind.UNLOAD -> EngineUse.NONE
        adapter != null && adapter !in present.orEmpty() -> EngineUse(adapterSize(action.model, fleet), adapters = 1)
        adapter == null && present == null ->
            EngineUse(fleet.models[action.model]?.memoryMegabytes ?: 0.0, adapters = 0)
        else -> EngineUse.NONE
    }
}

private fun adapterSize(
    model: ModelName,
    fleet: EngineFleet,
): Double = fleet.models[model]?.adapterMegabytes ?: 0.0
