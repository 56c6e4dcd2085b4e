package plantainturn.process.control.lease

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.log.LogOffset

/**
 * The transition function by which every reader of a control stream agrees on the holder of the lease.
 *
 * It is pure and does not depend on time: equal prefixes of the stream give equal states in every process. An entry
 * that is appended twice takes effect once.
 */
public object LeaseFold {
    /** Returns the state after [entry] at [offset] is folded into [state], and whether the entry took effect. */
    public fun fold(
        state: ControlState,
        offset: LogOffset,
        entry: ControlEntry,
    ): LeaseFoldResult =
        when (entry) {
            is ControlEntry.Claim -> claim(state, offset, entry)
            is ControlEntry.Renewal -> renewal(state, offset, entry)
            is ControlEntry.Release -> release(state, offset, entry)
            is ControlEntry.Intent -> intent(state, entry)
            is ControlEntry.Outcome -> outcome(state, entry)
            is ControlEntry.Snapshot -> ignored(state)
        }

    private fun claim(
        state: ControlState,
        offset: LogOffset,
        claim: ControlEntry.Claim,
    ): LeaseFoldResult {
        if (!isGranted(state, claim)) return ignored(state)
        val granted =
            ControlState(
                fence = FenceNumber(offset.value),
                holder = claim.holder,
                lastLeaseChange = offset,
                intents = if (claim.oldestReadable == null) state.intents else persistentListOf(),
            )
        return applied(granted)
    }

    private fun isGranted(
        state: ControlState,
        claim: ControlEntry.Claim,
    ): Boolean {
        if (claim.oldestReadable != null) return state.lastLeaseChange < claim.oldestReadable
        return claim.fenceSeen == state.fence && claim.lastLeaseChangeSeen == state.lastLeaseChange
    }

    private fun renewal(
        state: ControlState,
        offset: LogOffset,
        renewal: ControlEntry.Renewal,
    ): LeaseFoldResult {
        if (!isHeld(state, renewal.fence)) return ignored(state)
        return applied(state.copy(lastLeaseChange = offset))
    }

    private fun release(
        state: ControlState,
        offset: LogOffset,
        release: ControlEntry.Release,
    ): LeaseFoldResult {
        if (!isHeld(state, release.fence)) return ignored(state)
        return applied(state.copy(holder = null, lastLeaseChange = offset))
    }

    private fun intent(
        state: ControlState,
        intent: ControlEntry.Intent,
    ): LeaseFoldResult {
        if (!isHeld(state, intent.fence)) return ignored(state)
        val fresh = intent.orders.filter { it.order.identifier.sequence > state.highestIntent }
        if (fresh.isEmpty()) return ignored(state)
        val announced =
            state.copy(
                highestIntent = fresh.maxOf { it.order.identifier.sequence },
                intents = state.intents.addAll(fresh),
            )
        return applied(announced)
    }

    private fun outcome(
        state: ControlState,
        outcome: ControlEntry.Outcome,
    ): LeaseFoldResult {
        if (!isHeld(state, outcome.fence)) return ignored(state)
        val ended = outcome.orders.toSet()
        val open = state.intents.filterNot { it.order.identifier in ended }
        return applied(state.copy(intents = open.toPersistentList()))
    }

    private fun isHeld(
        state: ControlState,
        fence: FenceNumber,
    ): Boolean = state.holder != null && state.fence == fence

    private fun applied(state: ControlState): LeaseFoldResult = LeaseFoldResult(state, LeaseVerdict.COUNTED)

    private fun ignored(state: ControlState): LeaseFoldResult = LeaseFoldResult(state, LeaseVerdict.IGNORED)
}
