package plantainturn.request.relay

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Chooses the instance of a plain service for a request.
 *
 * Load pattern: a few instances of uneven speed with few places each, of which some fail or turn slow. The one with the
 * shortest expected answer is chosen; one in another failure domain must be clearly faster. Only when all instances
 * have a full line is the request turned away.
 */
public class ServiceDispatch {
    /** Returns where a request goes, of the [candidates] of its service. */
    public fun decide(
        query: DispatchQuery,
        candidates: List<DispatchCandidate>,
    ): DispatchDecision {
        val awake = candidates.filter { it.backoffRemaining == null }
        if (awake.isEmpty()) return withoutAwake(candidates)
        val usable = awake.filter { !it.suspected }.ifEmpty { awake }
        val best = usable.minBy { cost(it) }
        val full = best.running >= best.concurrency * LINE_FACTOR
        if (!full) return DispatchDecision.Send(best.name, query.urgency, Duration.ZERO)
        val wait = minOf(query.maximumRetryAfter, FULL_LINE_RETURN)
        return DispatchDecision.Rejected(wait, wait)
    }

    private fun cost(candidate: DispatchCandidate): Double {
        val answer = candidate.answerSeconds ?: UNKNOWN_ANSWER_SECONDS
        val line = (candidate.running + 1).toDouble() / candidate.concurrency.coerceAtLeast(1)
        val elsewhere = if (candidate.sameDomain) 0.0 else ELSEWHERE.toDouble(DurationUnit.SECONDS)
        val connecting = if (candidate.connected) 0.0 else CONNECTING.toDouble(DurationUnit.SECONDS)
        return answer * (1.0 + line) + elsewhere + connecting
    }

    private companion object {
        /** Requests for each place from which on an instance turns more away by itself. */
        const val LINE_FACTOR = 3

        const val UNKNOWN_ANSWER_SECONDS = 0.02
        val FULL_LINE_RETURN = 100.milliseconds
        val ELSEWHERE = 4.milliseconds

        /** A round trip and what the instance does for a new connection. */
        val CONNECTING = 6.milliseconds
    }
}
