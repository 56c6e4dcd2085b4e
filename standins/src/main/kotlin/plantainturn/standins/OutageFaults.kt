package plantainturn.standins

import kotlinx.serialization.Serializable

/**
 * The faults of [VmListStandIn] or [WeightStoreStandIn] that are switched on.
 *
 * @property outage how the service behaves; [OutageMode.SILENT] is taken as [OutageMode.BREAKING] after the delay
 * @property delayMilliseconds how long each read takes longer
 */
@Serializable
public data class OutageFaults(
    val outage: OutageMode = OutageMode.NONE,
    val delayMilliseconds: Long = 0,
)
