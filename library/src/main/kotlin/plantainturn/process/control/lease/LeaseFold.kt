package plantainturn.process.control.lease

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.log.LogOffset

/**
 * The rule by which every reader of a control stream agrees who holds the lease.
 *
 * It is pure and knows no time: equal prefixes give equal states in every process. An entry that is appended twice
 * takes effect once.
 */
public object LeaseFold {
    /** Returns what [entry] at [offset] makes of [state]. */
    public fun fold(
        state: ControlState,
        offset: LogOffset,
        entry: ControlEntry,
    ): LeaseStep =
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
    ): LeaseStep {
        if (!isGranted(state, claim)) return ignored(state)
        val granted =
            ControlState(
                fence = FenceNumber(offset.value),
                holder = claim.holder,
                counted = offset,
                intents = if (claim.keptFrom == null) state.intents else persistentListOf(),
            )
        return counted(granted)
    }

    private fun isGranted(
        state: ControlState,
        claim: ControlEntry.Claim,
    ): Boolean {
        if (claim.keptFrom != null) return state.counted < claim.keptFrom
        return claim.fenceSeen == state.fence && claim.countedSeen == state.counted
    }

    private fun renewal(
        state: ControlState,
        offset: LogOffset,
        renewal: ControlEntry.Renewal,
    ): LeaseStep {
        if (!isHeld(state, renewal.fence)) return ignored(state)
        return counted(state.copy(counted = offset))
    }

    private fun release(
        state: ControlState,
        offset: LogOffset,
        release: ControlEntry.Release,
    ): LeaseStep {
        if (!isHeld(state, release.fence)) return ignored(state)
        return counted(state.copy(holder = null, counted = offset))
    }

    private fun intent(
        state: ControlState,
        intent: ControlEntry.Intent,
    ): LeaseStep {
        if (!isHeld(state, intent.fence)) return ignored(state)
        val fresh = intent.orders.filter { it.order.identifier.sequence > state.highestIntent }
        if (fresh.isEmpty()) return ignored(state)
        val announced =
            state.copy(
                highestIntent = fresh.maxOf { it.order.identifier.sequence },
                intents = state.intents.addAll(fresh),
            )
        return counted(announced)
    }

    private fun outcome(
        state: ControlState,
        outcome: ControlEntry.Outcome,
    ): LeaseStep {
        if (!isHeld(state, outcome.fence)) return ignored(state)
        val ended = outcome.orders.toSet()
        val open = state.intents.filterNot { it.order.identifier in ended }
        return counted(state.copy(intents = open.toPersistentList()))
    }

    private fun isHeld(
        state: ControlState,
        fence: FenceNumber,
    ): Boolean = state.holder != null && state.fence == fence

    private fun counted(state: ControlState): LeaseStep = LeaseStep(state, LeaseVerdict.COUNTED)

    private fun ignored(state: ControlState): LeaseStep = LeaseStep(state, LeaseVerdict.IGNORED)
}
