package plantainturn.replay.world

import plantainturn.replay.deployment.InitialPlacement
import plantainturn.replay.engine.SimulatedEngine
import plantainturn.replay.measure.Measures
import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.ModelName

/** Looks every second for models and adapters that are ready nowhere although two copies of them fit in memory. */
internal class Reachability(
    configuration: Configuration,
    initial: InitialPlacement,
    private val engines: List<SimulatedEngine>,
    private val measures: Measures,
) {
    private val watched: List<ModelName> = watched(configuration, initial.withFloor(configuration))

    fun tick() {
        measures.unreachable(watched.count { name -> engines.none { it.isReady(name) } })
    }

    private fun watched(
        configuration: Configuration,
        models: Set<ModelName>,
    ): List<ModelName> = models.toList() + configuration.adapters.filterValues { it.baseModel in models }.keys
}
