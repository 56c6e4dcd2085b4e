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
 * @property usable whether it answers, is not leaving and may be given orders
 * @property tokensPerSecond tokens generated a second as last reported
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
)
