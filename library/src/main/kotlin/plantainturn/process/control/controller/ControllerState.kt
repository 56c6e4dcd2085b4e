package plantainturn.process.control.controller

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import plantainturn.connection.engine.FenceNumber
import plantainturn.process.control.lease.ControlState
import plantainturn.process.control.lease.ControlStatus
import plantainturn.process.control.ledger.LedgerView
import plantainturn.version.configuration.SerializableList
import plantainturn.version.placement.PlacementPlan

/**
 * A controller's state as `dump` shows it.
 *
 * @property fence the fence of the lease that this node holds, null without a lease
 * @property termMilliseconds the remaining term, negative once it has passed, null without a lease
 * @property control the state of the control stream as far as it has been read
 * @property plan the latest plan that this node made, null without a lease
 * @property deferred the moves of that plan that could not be started, each with the cause
 */
@Serializable
public data class ControllerState(
    val fence: FenceNumber?,
    val termMilliseconds: Long?,
    val status: ControlStatus,
    val control: ControlState,
    val ledgers: SerializableList<LedgerView> = persistentListOf(),
    val plan: PlacementPlan? = null,
    val deferred: SerializableList<DeferredMove> = persistentListOf(),
)
