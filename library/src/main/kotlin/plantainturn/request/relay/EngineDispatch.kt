package plantainturn.request.relay

import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Chooses the engine for a request, or turns the request away.
 *
 * Load patterns that it answers. A burst on one kind of request: work that is expected late is ranked behind work that
 * is still in time, so that it takes only what is left over, and is turned away at once when even that will not do. A
 * burst atop a crash: the copies that are left fill up to what can still be in time. Repeating callers: each is told a
 * time at which the present backlog is worked off. Long prompts without end: between the pieces of prompts that it
 * reads an engine makes one token for each stream, so that one which only reads lets every long stream run out of time;
 * what would take it there is turned away. While an engine has free places and nothing ahead, nothing is turned away.
 * Requests that share a prompt prefer the same copy at every node, unless it is busier.
 */
public class EngineDispatch(
    private val pace: EngineTimeEstimator,
    private val settings: EngineDispatchSettings = EngineDispatchSettings(),
) {
    /** Returns where a request goes, of [candidates] that hold its model and adapter. */
    public fun decide(
        query: DispatchQuery,
        candidates: List<DispatchCandidate>,
    ): DispatchDecision {
        val demand = requireNotNull(query.demand) { "a request without a demand goes to a plain service" }
        val awake = candidates.filter { it.backoffRemaining == null }
        if (awake.isEmpty()) return withoutAwake(candidates)
        val sound = awake.filter { !it.suspected }.ifEmpty { awake }
        val usable = sound.filter { !isReadingTooMuch(it, demand) }.ifEmpty { sound }
        val best = usable.minBy { cost(it, demand, query) }
        val expected = expectedFirstEvent(best, demand, query)
        val inTime = expected <= query.objectiveLeft
        val placesFree = best.running < best.concurrency * settings.freeShare && hasMemory(best, demand, query)
        return when {
            isReadingTooMuch(best, demand) ->
                DispatchDecision.Rejected(maxOf(retryAfter(expected, query), readingReturn(query)), expected)
            inTime || placesFree && expected < query.timeLeft -> send(best, query, expected, inTime)
            expected <= query.timeLeft * settings.lateShare && best.running < settings.fullFactor * best.concurrency ->
                send(best, query, expected, inTime = false)
            else -> DispatchDecision.Rejected(retryAfter(expected, query), expected)
        }
    }

    /** Returns the expected time to the first event of a request with [demand] at [candidate]. */
    public fun expectedFirstEvent(
        candidate: DispatchCandidate,
        demand: GenerationDemand,
        query: DispatchQuery,
    ): Duration {
        val own = demand.promptTokens - candidate.cachedTokens
        val reading = pace.firstEvent(demand.model, candidate.prefillTokens + own)
        val surplus = candidate.running + 1 - candidate.concurrency
        val queueing = if (surplus > 0) settings.placePause * surplus else Duration.ZERO
        val memory = if (hasMemory(candidate, demand, query)) Duration.ZERO else settings.memoryPause
        return reading + queueing + memory
    }

    private fun isReadingTooMuch(
        candidate: DispatchCandidate,
        demand: GenerationDemand,
    ): Boolean {
        val own = demand.promptTokens - candidate.cachedTokens
        return own >= settings.longReading && candidate.prefillShare > settings.readingLimit
    }

    private fun send(
        candidate: DispatchCandidate,
        query: DispatchQuery,
        expected: Duration,
        inTime: Boolean,
    ): DispatchDecision {
        val rank = if (inTime) query.urgency else query.urgency + settings.lateRank
        return DispatchDecision.Send(candidate.name, rank.coerceIn(0, LAST_RANK), expected, candidate.prefillTokens)
    }

    private fun cost(
        candidate: DispatchCandidate,
        demand: GenerationDemand,
        query: DispatchQuery,
    ): Double {
        val expected = expectedFirstEvent(candidate, demand, query)
        val elsewhere = if (candidate.sameDomain) Duration.ZERO else settings.domainPenalty
        val connecting = if (candidate.connected) Duration.ZERO else settings.connectPenalty
        val reading = settings.readingPenalty * candidate.prefillShare
        val crowd = settings.runningPenalty * candidate.running
        val preferred =
            if (candidate.cachedTokens >
                0
            ) {
                Duration.ZERO
            } else {
                settings.affinitySpread * preference(candidate, query)
            }
        return (expected + elsewhere + connecting + reading + crowd + preferred).toDouble(DurationUnit.MILLISECONDS)
    }

    /** A number from 0 to 1 that is the same at all nodes; the lowest is preferred (rendezvous hashing). */
    private fun preference(
        candidate: DispatchCandidate,
        query: DispatchQuery,
    ): Double {
        val mixed =
            (
                candidate.name.value
                    .hashCode()
                    .toLong() xor query.affinity
            ) * MIXER
        return ((mixed ushr HIGH_BITS) and LOW_MASK).toDouble() / LOW_MASK
    }

    private fun hasMemory(
        candidate: DispatchCandidate,
        demand: GenerationDemand,
        query: DispatchQuery,
    ): Boolean {
        val own = demand.promptTokens - candidate.cachedTokens + demand.outputTokens
        return candidate.usedCacheTokens + own <= query.cacheCapacityTokens * settings.memoryShare
    }

    private fun readingReturn(query: DispatchQuery): Duration = minOf(settings.readingReturn, query.maximumRetryAfter)

    private fun retryAfter(
        expected: Duration,
        query: DispatchQuery,
    ): Duration {
        val backlog = expected - query.objectiveLeft.coerceAtLeast(Duration.ZERO)
        return backlog.coerceIn(settings.shortestReturn, maxOf(settings.shortestReturn, query.maximumRetryAfter))
    }

    private companion object {
        const val LAST_RANK = 9

        const val MIXER = -7_046_029_254_386_353_131L
        const val HIGH_BITS = 32
        const val LOW_MASK = 0xFFFF_FFFFL
    }
}
