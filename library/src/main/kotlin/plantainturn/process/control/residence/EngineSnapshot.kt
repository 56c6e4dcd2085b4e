package plantainturn.process.control.residence

import kotlinx.collections.immutable.PersistentSet
import plantainturn.process.time.Moment
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName

/**
 * One engine as the planner of residence sees it.
 *
 * @property residents base models that can run requests
 * @property loading the base model on its way in, if any
 * @property unloading the base model on its way out, if any
 * @property committedMegabytes memory that is taken or may come to be taken
 * @property acceptsOrders whether it can be given an order for a base model now
 * @property residentSince when models became resident, as far as this node has seen it happen
 */
public data class EngineSnapshot(
    val name: UpstreamName,
    val residents: PersistentSet<ModelName>,
    val loading: ModelName?,
    val unloading: ModelName?,
    val committedMegabytes: Double,
    val acceptsOrders: Boolean,
    val hostCopies: PersistentSet<ModelName>,
    val diskCopies: PersistentSet<ModelName>,
    val residentSince: Map<ModelName, Moment>,
) {
    /** Base models that it holds or will hold. */
    public val expectedResidents: Set<ModelName>
        get() = (residents + listOfNotNull(loading)) - listOfNotNull(unloading).toSet()
}
