package plantainturn.version.placement

import kotlinx.collections.immutable.PersistentMap
import plantainturn.process.time.Moment
import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName

/**
 * All that a plan depends on.
 *
 * @property upstreams the engines that may be given orders, by name; plain services are left out
 * @property demand the demand for each model and adapter that has any
 */
public data class PlanningInput(
    val now: Moment,
    val configuration: Configuration,
    val upstreams: PersistentMap<UpstreamName, PlannedUpstream>,
    val demand: PersistentMap<ModelName, ModelDemand>,
)
