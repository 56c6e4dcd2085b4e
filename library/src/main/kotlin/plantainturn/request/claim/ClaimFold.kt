package plantainturn.request.claim

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import plantainturn.connection.log.FoldResult
import plantainturn.connection.log.LogOffset
import plantainturn.connection.log.StreamFold
import plantainturn.request.claim.internal.ClaimSnapshot

/**
 * Grants keys by the order of the entries in the claims stream.
 *
 * The first request for a key is granted. After that no other claim is granted the key, unless the claimant releases
 * it, which it does only if its request was not and will not be run, or the key is settled and then evicted.
 */
public object ClaimFold : StreamFold<ClaimState, ClaimVerdict> {
    override val rule: Int = 1

    override val initial: ClaimState = ClaimState()

    override fun apply(
        state: ClaimState,
        offset: LogOffset,
        entries: PersistentList<JsonElement>,
    ): FoldResult<ClaimState, ClaimVerdict> {
        var current = state
        val verdicts = mutableListOf<ClaimVerdict>()
        for (element in entries) {
            val entry = decodeEntry(element) ?: continue
            if (entry is ClaimEntry.Request) verdicts += ClaimVerdict(entry.claim, entry.key, decide(current, entry))
            current = apply(current, entry)
        }
        return FoldResult(current, verdicts.toPersistentList())
    }

    /** Returns the state after [entry]. */
    public fun apply(
        state: ClaimState,
        entry: ClaimEntry,
    ): ClaimState =
        when (entry) {
            is ClaimEntry.Request -> request(state, entry)
            is ClaimEntry.Settle -> settle(state, entry)
            is ClaimEntry.Release -> release(state, entry)
            is ClaimEntry.Abandon -> abandon(state, entry)
        }

    /** Returns the decision on [request] in [state]. */
    public fun decide(
        state: ClaimState,
        request: ClaimEntry.Request,
    ): ClaimDecision {
        if (request.claim in state.released) return ClaimDecision.Void
        val held = state.holder(request.key)
        if (held != null) return decideHeld(held, request)
        val settled = state.settled(request.key)
        if (settled != null) return decideSettled(settled, request)
        return decideNew(state, request.key)
    }

    override fun encode(state: ClaimState): JsonElement =
        Json.encodeToJsonElement(ClaimSnapshot.serializer(), ClaimSnapshot.of(state))

    override fun decode(element: JsonElement): ClaimState =
        Json.decodeFromJsonElement(ClaimSnapshot.serializer(), element).toState()

    private fun decideHeld(
        held: HeldKey,
        request: ClaimEntry.Request,
    ): ClaimDecision =
        when {
            held.claim == request.claim -> ClaimDecision.Void
            held.fingerprint != request.fingerprint -> ClaimDecision.Reused
            else -> ClaimDecision.InProgress
        }

    private fun decideSettled(
        settled: SettledKey,
        request: ClaimEntry.Request,
    ): ClaimDecision =
        when {
            settled.claim == request.claim -> ClaimDecision.Void
            settled.fingerprint != request.fingerprint -> ClaimDecision.Reused
            else -> ClaimDecision.Settled(settled.outcome)
        }

    private fun decideNew(
        state: ClaimState,
        key: ClaimKey,
    ): ClaimDecision {
        val window = state.window(key.team)
        val time = KeyTimestamp.millisecondsOf(key.key)
        return when {
            time != null && time <= window.forgottenUntil -> ClaimDecision.Expired
            window.held.size >= TeamWindow.HELD_LIMIT -> ClaimDecision.Full
            else -> ClaimDecision.Granted
        }
    }

    private fun request(
        state: ClaimState,
        entry: ClaimEntry.Request,
    ): ClaimState {
        if (decide(state, entry) != ClaimDecision.Granted) return state
        val window = state.window(entry.key.team)
        return state.with(entry.key.team, window.hold(serviceKeyOf(entry.key), HeldKey(entry.claim, entry.fingerprint)))
    }

    private fun settle(
        state: ClaimState,
        entry: ClaimEntry.Settle,
    ): ClaimState {
        val fingerprint = unsettledFingerprint(state, entry) ?: return state
        val window = state.window(entry.key.team)
        val settled = SettledKey(entry.claim, fingerprint, entry.outcome)
        return state.with(entry.key.team, window.settle(serviceKeyOf(entry.key), settled))
    }

    private fun release(
        state: ClaimState,
        entry: ClaimEntry.Release,
    ): ClaimState {
        val updated = state.addReleased(entry.claim)
        if (unsettledFingerprint(state, entry) == null) return updated
        val window = state.window(entry.key.team)
        return updated.with(entry.key.team, window.release(serviceKeyOf(entry.key)))
    }

    private fun abandon(
        state: ClaimState,
        entry: ClaimEntry.Abandon,
    ): ClaimState {
        val held = state.holder(entry.key)?.takeIf { it.claim == entry.claim } ?: return state
        val window = state.window(entry.key.team)
        val settled = SettledKey(held.claim, held.fingerprint, ClaimOutcome.Unknown)
        return state.with(entry.key.team, window.settle(serviceKeyOf(entry.key), settled))
    }

    /** Returns the fingerprint of the key if the claim of [entry] owns it and the outcome is not known yet. */
    private fun unsettledFingerprint(
        state: ClaimState,
        entry: ClaimEntry,
    ): String? {
        val held = state.holder(entry.key)
        if (held != null) return held.fingerprint.takeIf { held.claim == entry.claim }
        val settled = state.settled(entry.key) ?: return null
        val unsettled = settled.claim == entry.claim && settled.outcome == ClaimOutcome.Unknown
        return settled.fingerprint.takeIf { unsettled }
    }

    private fun serviceKeyOf(key: ClaimKey): ServiceKey = ServiceKey(key.service, key.key)

    private fun decodeEntry(element: JsonElement): ClaimEntry? =
        try {
            Json.decodeFromJsonElement(ClaimEntry.serializer(), element)
        } catch (_: IllegalArgumentException) {
            null
        }
}
