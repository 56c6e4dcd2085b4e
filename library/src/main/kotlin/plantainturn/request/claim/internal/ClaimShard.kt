package plantainturn.request.claim.internal

import kotlinx.serialization.json.Json
import plantainturn.connection.log.AppendFate
import plantainturn.connection.log.AppendSettings
import plantainturn.connection.log.FollowLoop
import plantainturn.connection.log.GroupedAppender
import plantainturn.connection.log.LogOffset
import plantainturn.connection.log.LogRecordSource
import plantainturn.connection.log.LogService
import plantainturn.connection.log.Pause
import plantainturn.connection.log.RecordAppender
import plantainturn.connection.log.RecordIdentifier
import plantainturn.connection.log.RecordIdentifiers
import plantainturn.connection.log.StreamFollower
import plantainturn.connection.log.StreamName
import plantainturn.connection.log.StreamPosition
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.request.claim.Claim
import plantainturn.request.claim.ClaimDecision
import plantainturn.request.claim.ClaimEntry
import plantainturn.request.claim.ClaimFold
import plantainturn.request.claim.ClaimKey
import plantainturn.request.claim.ClaimOutcome
import plantainturn.request.claim.ClaimResult
import plantainturn.request.claim.ClaimSettings
import plantainturn.request.claim.ClaimState
import plantainturn.request.claim.ClaimVerdict
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap

/** Makes and follows the claims of one node on one stream. */
internal class ClaimShard(
    log: LogService,
    stream: StreamName,
    incarnation: String,
    private val timer: TimerService,
    pause: Pause,
    private val settings: ClaimSettings,
) {
    private val claimIdentifiers = RecordIdentifiers("$incarnation/claim")
    private val pending = PendingClaims()
    private val outcomes = ConcurrentHashMap<RecordIdentifier, ClaimOutcome>()
    private val heldSince = HashMap<RecordIdentifier, Moment>()

    val recordAppender: RecordAppender =
        RecordAppender(
            log,
            stream,
            RecordIdentifiers(incarnation),
            timer,
            pause,
            AppendSettings(deadline = settings.deadline),
        )
    val follower: StreamFollower<ClaimState, ClaimVerdict> =
        StreamFollower(stream, ClaimFold, null) { position, verdicts, _ -> onFolded(position, verdicts) }
    val loop: FollowLoop = FollowLoop(follower, LogRecordSource(log, stream), pause)
    val appender: GroupedAppender =
        GroupedAppender(recordAppender, ClaimFold.rule, { follower.position?.next ?: LogOffset.FIRST })
    private val retryingAppender = RetryingAppender(appender, timer, settings.retryPause)

    /** The number of outcomes, releases and abandonments that are not in the log yet. */
    val unwrittenEntries: Int
        get() = retryingAppender.unwrittenEntries

    /** Claims [key], without blocking. */
    fun claim(
        key: ClaimKey,
        fingerprint: String,
    ): CompletableFuture<ClaimResult> {
        val request = ClaimEntry.Request(claimIdentifiers.next(), key, fingerprint)
        val localResult = decideLocally(request) ?: return submit(request)
        return CompletableFuture.completedFuture(localResult)
    }

    /** Records the outcome of [claim]. */
    fun settle(
        claim: Claim,
        outcome: ClaimOutcome,
    ) {
        outcomes[claim.record] = outcome
        retryingAppender.append(ClaimEntry.Settle(claim.record, claim.key, outcome))
    }

    /** Releases the key of [claim]. */
    fun release(claim: Claim) {
        retryingAppender.append(ClaimEntry.Release(claim.record, claim.key))
    }

    /** Abandons the claims that this node has seen held for longer than [ClaimSettings.abandonAfter]. */
    @Synchronized
    fun abandonExpired() {
        if (!loop.logAvailable) return
        val held = heldClaims()
        heldSince.keys.retainAll(held.keys)
        outcomes.keys.retainAll(held.keys)
        val now = timer.now()
        for ((claim, key) in held) {
            val since = heldSince.getOrPut(claim) { now }
            if (now - since < settings.abandonAfter) continue
            heldSince[claim] = now
            retryingAppender.append(ClaimEntry.Abandon(claim, key))
        }
    }

    private fun heldClaims(): Map<RecordIdentifier, ClaimKey> {
        val state = follower.position?.state ?: return emptyMap()
        val held = HashMap<RecordIdentifier, ClaimKey>()
        for ((team, window) in state.teams) {
            for ((key, value) in window.held) held[value.claim] = ClaimKey(team, key.service, key.key)
        }
        return held
    }

    /** Returns the result that follows from the state read so far, or null if the claim must be appended to the log. */
    private fun decideLocally(request: ClaimEntry.Request): ClaimResult? {
        val state = follower.position?.state ?: return ClaimResult.Unavailable("the claims are not read yet")
        val decision = ClaimFold.decide(state, request)
        if (decision == ClaimDecision.InProgress) return localOutcome(state, request.key) ?: ClaimResult.InProgress
        if (decision != ClaimDecision.Granted) return resultOf(request.claim, request.key, decision)
        return if (loop.logAvailable) null else ClaimResult.Unavailable("the log does not answer")
    }

    private fun localOutcome(
        state: ClaimState,
        key: ClaimKey,
    ): ClaimResult? {
        val holder = state.holder(key) ?: return null
        return outcomes[holder.claim]?.let { ClaimResult.Settled(it) }
    }

    private fun submit(request: ClaimEntry.Request): CompletableFuture<ClaimResult> {
        val result = pending.add(request)
        val element = Json.encodeToJsonElement(ClaimEntry.serializer(), request)
        val append = appender.submit(element)
        append.thenAccept { fate -> onFate(request, fate) }
        val timeout = timer.schedule(settings.deadline) { giveUp(request, "the claim was not read back in time") }
        result.whenComplete { _, _ ->
            timeout.cancel()
            append.cancel(false)
        }
        return result
    }

    private fun onFate(
        request: ClaimEntry.Request,
        fate: AppendFate,
    ) {
        when (fate) {
            is AppendFate.Stands -> Unit
            is AppendFate.Unknown -> giveUp(request, fate.reason)
            is AppendFate.Refused -> pending.decide(request.claim, ClaimResult.Unavailable(fate.reason))
        }
    }

    /** Gives up a claim that may still be granted later: it is not dispatched, and it is released in the log. */
    private fun giveUp(
        request: ClaimEntry.Request,
        reason: String,
    ) {
        if (pending.giveUp(request.claim, reason)) {
            retryingAppender.append(ClaimEntry.Release(request.claim, request.key))
        }
    }

    private fun onFolded(
        position: StreamPosition<ClaimState>,
        verdicts: List<ClaimVerdict>,
    ) {
        verdicts.forEach(::onVerdict)
        if (verdicts.isEmpty()) pending.requests.forEach { decideByState(position.state, it) }
    }

    private fun onVerdict(verdict: ClaimVerdict) {
        val decided = pending.decide(verdict.claim, resultOf(verdict.claim, verdict.key, verdict.decision))
        if (decided || verdict.decision != ClaimDecision.Granted) return
        if (pending.wasGivenUp(verdict.claim)) retryingAppender.append(ClaimEntry.Release(verdict.claim, verdict.key))
    }

    /** Grants a pending claim whose record is covered by a snapshot, if it holds its key. */
    private fun decideByState(
        state: ClaimState,
        request: ClaimEntry.Request,
    ) {
        if (state.holder(request.key)?.claim != request.claim) return
        pending.decide(request.claim, resultOf(request.claim, request.key, ClaimDecision.Granted))
    }

    private fun resultOf(
        claim: RecordIdentifier,
        key: ClaimKey,
        decision: ClaimDecision,
    ): ClaimResult =
        when (decision) {
            ClaimDecision.Granted -> ClaimResult.Granted(Claim(key, claim))
            ClaimDecision.InProgress -> ClaimResult.InProgress
            is ClaimDecision.Settled -> ClaimResult.Settled(decision.outcome)
            ClaimDecision.Reused -> ClaimResult.Reused
            ClaimDecision.Expired -> ClaimResult.Expired
            ClaimDecision.Full -> ClaimResult.Unavailable("the team holds as many keys as it may")
            ClaimDecision.Void -> ClaimResult.Unavailable("the claim was given up")
        }
}
