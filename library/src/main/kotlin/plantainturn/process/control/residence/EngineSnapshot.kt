package plantainturn.process.control.residence

import kotlinx.collections.immutable.PersistentSet
import plantainturn.process.time.Moment
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName

/**
 * The state of one engine as seen by [ResidencePlanner].
 *
 * @property residents base models that can run requests
 * @property loading the base model that is being loaded, if any
 * @property unloading the base models that are being unloaded or are about to be
 * @property committedMegabytes memory that is in use or may come to be used
 * @property acceptsOrders whether it can be sent an order for a base model now
 * @property residentSince when models became resident, for those that this node saw become resident
 */
public data class EngineSnapshot(
    val name: UpstreamName,
    val residents: PersistentSet<ModelName>,
    val loading: ModelName?,
    val unloading: PersistentSet<ModelName>,
    val committedMegabytes: Double,
    val acceptsOrders: Boolean,
    val hostCopies: PersistentSet<ModelName>,
    val diskCopies: PersistentSet<ModelName>,
    val residentSince: Map<ModelName, Moment>,
) {
    /** Base models that are resident once the current load and unload are complete. */
    public val expectedResidents: Set<ModelName> = (residents + listOfNotNull(loading)) - unloading
}
