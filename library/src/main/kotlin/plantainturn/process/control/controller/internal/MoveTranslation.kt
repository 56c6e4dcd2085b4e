package plantainturn.process.control.controller.internal

import plantainturn.connection.engine.EngineAction
import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.ModelName
import plantainturn.version.placement.PlacementMove

/** Returns the engine action for [move], or null if [configuration] does not contain what it loads. */
internal fun actionFor(
    move: PlacementMove,
    configuration: Configuration,
): EngineAction? =
    when (move) {
        is PlacementMove.Load -> loadAction(move.name, configuration)
        is PlacementMove.Unload -> EngineAction.Unload(move.name)
        is PlacementMove.ChangeRole -> EngineAction.ChangeRole(move.role)
    }

private fun loadAction(
    name: ModelName,
    configuration: Configuration,
): EngineAction? {
    val model = configuration.models[name]
    if (model != null) return EngineAction.LoadModel(name, model.weightsVersion, model.memoryMegabytes)
    val adapter = configuration.adapters[name] ?: return null
    return EngineAction.LoadAdapter(name, adapter.baseModel, adapter.weightsVersion, adapter.memoryMegabytes)
}
