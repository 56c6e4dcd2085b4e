package plantainturn.process.control.residence

import plantainturn.process.time.Moment
import plantainturn.version.configuration.ModelName
import plantainturn.version.route.EngineFleet

/**
 * The input of [ResidencePlanner].
 *
 * @property engines the engines of one service that may be sent orders or already hold models
 * @property storeLoadsLeft the number of loads from the weight store that may begin now
 */
public data class ResidenceInput(
    val fleet: EngineFleet,
    val engines: List<EngineSnapshot>,
    val pressure: Map<ModelName, ModelPressure>,
    val storeLoadsLeft: Int,
    val now: Moment,
)
