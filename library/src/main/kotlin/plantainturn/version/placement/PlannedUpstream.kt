package plantainturn.version.placement

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import plantainturn.connection.engine.EngineRole
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.ModelName

/**
 * An engine as the memory ledger sees it.
 *
 * @property freeMegabytes memory that a new load may reserve now: capacity less all that is held, reserved or in doubt
 * @property placements what is held, arriving, going or in doubt there
 * @property usable whether it answers and is not leaving, so that what it holds counts as resident
 * @property tokensPerSecond tokens generated a second as last reported
 * @property acceptsOrders whether orders may be given to it now; what it holds counts as resident either way
 */
public data class PlannedUpstream(
    val failureDomain: FailureDomain,
    val accelerators: Int,
    val capacityMegabytes: Long,
    val freeMegabytes: Long,
    val concurrency: Int,
    val usable: Boolean,
    val role: EngineRole = EngineRole.MIXED,
    val placements: PersistentMap<ModelName, PlacementState> = persistentMapOf(),
    val tokensPerSecond: Double = 0.0,
    val acceptsOrders: Boolean = true,
)
