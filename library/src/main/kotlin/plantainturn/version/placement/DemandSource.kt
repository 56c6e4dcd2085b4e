package plantainturn.version.placement

import kotlinx.collections.immutable.PersistentMap
import plantainturn.version.configuration.ModelName

/** Gives the demand that a plan is made for. */
public fun interface DemandSource {
    /** Returns the demand for each model and adapter that has any. The call is cheap. */
    public fun demand(): PersistentMap<ModelName, ModelDemand>
}
