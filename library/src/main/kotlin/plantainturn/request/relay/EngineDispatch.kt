package plantainturn.request.relay

import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Chooses the engine for a request, or rejects the request.
 *
 * Handled load patterns:
 * - A burst of one kind of request: work that is expected late is ranked behind work that is in time, so that it only
 *   uses spare capacity, and is rejected at once if it would be too late even so.
 * - A burst during the failure of an engine: the remaining copies fill up to what can still be answered in time.
 * - Callers that retry: each gets a retry delay after which the present backlog is worked off.
 * - Long prompts without end: between the chunks of prompts that it processes, an engine generates one token for each
 *   stream, so that an engine which only does prefill makes every long stream miss its deadline. Long prompts that
 *   would bring an engine to that point are rejected.
 *
 * - An engine that limits its requests: it is used up to its limit, and the others take the rest of its work. When they
 *   are busy, requests wait for their turn there.
 *
 * Apart from long prompts and limits, nothing is rejected while an engine has free slots and no backlog. Requests that
 * share a prompt prefer the same copy at every node, unless it is busier.
 */
public class EngineDispatch(
    private val timeEstimator: EngineTimeEstimator,
    private val settings: EngineDispatchSettings = EngineDispatchSettings(),
) {
    /** Returns where a request goes, given the [candidates] that hold its model and adapter. */
    public fun decide(
        query: DispatchQuery,
        candidates: List<DispatchCandidate>,
    ): DispatchDecision {
        val demand = requireNotNull(query.demand) { "requests without a demand must be dispatched to a plain service" }
        val available = candidates.filter { it.backoffRemaining == null }
        if (available.isEmpty()) return decideWithoutAvailable(candidates)
        val healthy = available.filter { !it.suspected }.ifEmpty { available }
        val eligible = healthy.filter { !exceedsPrefillLimit(it, demand) }.ifEmpty { healthy }
        val meanPrefill = meanPrefillToBalance(eligible)
        val best = eligible.minBy { cost(it, demand, query, meanPrefill) }
        val expected = expectedFirstEvent(best, demand, query)
        val inTime = expected <= query.objectiveLeft
        val hasFreeSlots = best.running < best.concurrency * settings.lowLoadShare && fitsCache(best, demand, query)
        return when {
            exceedsPrefillLimit(best, demand) ->
                DispatchDecision.Rejected(maxOf(retryAfter(expected, query), prefillRetryAfter(query)), expected)
            inTime || hasFreeSlots && expected < query.timeLeft -> send(best, query, expected, inTime)
            expected <= query.timeLeft * settings.lateTimeShare &&
                best.running < settings.lateLoadFactor * best.concurrency ->
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
        val uncached = demand.promptTokens - candidate.cachedTokens
        val nominal = timeEstimator.timeToFirstEvent(demand.model, candidate.prefillTokens + uncached)
        val prefill = nominal * (candidate.pace?.inUse(least = 1.0) ?: 1.0)
        val excess = candidate.running + 1 - candidate.concurrency
        val queueing = if (excess > 0) settings.slotWait * excess else Duration.ZERO
        val cacheWait = if (fitsCache(candidate, demand, query)) Duration.ZERO else settings.fullCacheWait
        return prefill + queueing + cacheWait + (candidate.permitWait ?: Duration.ZERO)
    }

    private fun exceedsPrefillLimit(
        candidate: DispatchCandidate,
        demand: GenerationDemand,
    ): Boolean {
        val uncached = demand.promptTokens - candidate.cachedTokens
        return uncached >= settings.longPrefillTokens && candidate.prefillShare > settings.prefillShareLimit
    }

    private fun send(
        candidate: DispatchCandidate,
        query: DispatchQuery,
        expected: Duration,
        inTime: Boolean,
    ): DispatchDecision {
        val rank = if (inTime) query.urgency else query.urgency + settings.lateRankOffset
        return DispatchDecision.Send(candidate.name, rank.coerceIn(0, LAST_RANK), expected, candidate.prefillTokens)
    }

    private fun cost(
        candidate: DispatchCandidate,
        demand: GenerationDemand,
        query: DispatchQuery,
        meanPrefill: Double?,
    ): Double {
        val expected = expectedFirstEvent(candidate, demand, query)
        val crossDomain = if (candidate.sameDomain) Duration.ZERO else settings.domainPenalty
        val connecting = if (candidate.connected) Duration.ZERO else settings.connectPenalty
        val prefill = settings.prefillPenalty * candidate.prefillShare
        val load = settings.runningPenalty * candidate.running
        val affinity =
            if (candidate.cachedTokens > 0) {
                Duration.ZERO
            } else {
                val prefersCopy = query.sharesPrompt || meanPrefill == null
                val most = if (prefersCopy) settings.affinityPenalty else settings.spreadPenalty
                most * affinityScore(candidate, query)
            }
        val multiple = meanPrefill?.let { candidate.prefillShare / (it + IDLE_PREFILL) } ?: 0.0
        val balance = settings.balancePenalty * (multiple - settings.balanceShare).coerceAtLeast(0.0)
        val failures = settings.failureCost * (candidate.pace?.failureShare ?: 0.0)
        return (expected + crossDomain + connecting + prefill + load + affinity + balance + failures).toDouble(
            DurationUnit.MILLISECONDS,
        )
    }

    /** Returns the mean prefill of [engines], null if none states its speed, so that their work is not balanced. */
    private fun meanPrefillToBalance(engines: List<DispatchCandidate>): Double? {
        if (engines.none { it.pace != null }) return null
        return engines.sumOf { it.prefillShare } / engines.size
    }

    /** Returns a score from 0 to 1 that is equal at all nodes; the lowest is preferred (rendezvous hashing). */
    private fun affinityScore(
        candidate: DispatchCandidate,
        query: DispatchQuery,
    ): Double {
        val hash =
            (
                candidate.name.value
                    .hashCode()
                    .toLong() xor query.affinity
            ) * HASH_MULTIPLIER
        return ((hash ushr HIGH_BITS) and LOW_MASK).toDouble() / LOW_MASK
    }

    private fun fitsCache(
        candidate: DispatchCandidate,
        demand: GenerationDemand,
        query: DispatchQuery,
    ): Boolean {
        val added = demand.promptTokens - candidate.cachedTokens + demand.outputTokens
        return candidate.usedCacheTokens + added <= query.cacheCapacityTokens * settings.cacheUseLimit
    }

    private fun prefillRetryAfter(query: DispatchQuery): Duration =
        minOf(settings.prefillRetryAfter, query.maximumRetryAfter)

    private fun retryAfter(
        expected: Duration,
        query: DispatchQuery,
    ): Duration {
        val backlog = expected - query.objectiveLeft.coerceAtLeast(Duration.ZERO)
        return backlog.coerceIn(settings.minimumRetryAfter, maxOf(settings.minimumRetryAfter, query.maximumRetryAfter))
    }

    private companion object {
        /** Fraction of an engine's time for prefill that counts as nothing: a short prompt within the last seconds. */
        const val IDLE_PREFILL = 0.01
        const val LAST_RANK = 9

        /** 2^64 divided by the golden ratio, as a signed number (Fibonacci hashing). */
        const val HASH_MULTIPLIER = -7_046_029_254_386_353_131L
        const val HIGH_BITS = 32
        const val LOW_MASK = 0xFFFF_FFFFL
    }
}
