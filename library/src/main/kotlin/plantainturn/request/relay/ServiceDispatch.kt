package plantainturn.request.relay

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Chooses the instance of a plain service for a request.
 *
 * Load pattern: a few instances of uneven speed with few slots each, some of which fail or become slow. The one with
 * the shortest expected answer is chosen; one in another failure domain must be clearly faster, and one that limits
 * its requests is used up to its limit. The request is rejected when the queue of the chosen instance is full and no
 * limited one has room.
 */
public class ServiceDispatch {
    /** Returns where a request goes, given the [candidates] of its service. */
    public fun decide(
        query: DispatchQuery,
        candidates: List<DispatchCandidate>,
    ): DispatchDecision {
        val available = candidates.filter { it.backoffRemaining == null }
        if (available.isEmpty()) return decideWithoutAvailable(candidates)
        val eligible = available.filter { !it.suspected }.ifEmpty { available }
        val best = eligible.minBy { cost(it) }
        // One that limits its requests may cost more for its wait alone.
        val limited = eligible.filter { it.permitWait != null && !isFull(it) }.minByOrNull { cost(it) }
        val choice = if (isFull(best)) limited else best
        if (choice != null) return DispatchDecision.Send(choice.name, query.urgency, Duration.ZERO)
        val retryAfter = minOf(query.maximumRetryAfter, FULL_QUEUE_RETRY_AFTER)
        return DispatchDecision.Rejected(retryAfter, retryAfter)
    }

    private fun isFull(candidate: DispatchCandidate): Boolean =
        candidate.running >= candidate.concurrency * QUEUE_FACTOR

    private fun cost(candidate: DispatchCandidate): Double {
        val answer = candidate.answerSeconds ?: UNKNOWN_ANSWER_SECONDS
        val queue = (candidate.running + 1).toDouble() / candidate.concurrency.coerceAtLeast(1)
        val crossDomain = if (candidate.sameDomain) 0.0 else CROSS_DOMAIN_PENALTY.toDouble(DurationUnit.SECONDS)
        val connecting = if (candidate.connected) 0.0 else CONNECT_PENALTY.toDouble(DurationUnit.SECONDS)
        val permit = candidate.permitWait ?: Duration.ZERO
        return answer * (1.0 + queue) + crossDomain + connecting + permit.toDouble(DurationUnit.SECONDS)
    }

    private companion object {
        /** Requests per slot from which on an instance refuses further requests by itself. */
        const val QUEUE_FACTOR = 3

        const val UNKNOWN_ANSWER_SECONDS = 0.02
        val FULL_QUEUE_RETRY_AFTER = 100.milliseconds
        val CROSS_DOMAIN_PENALTY = 4.milliseconds

        /** A round trip and the work of the instance for a new connection. */
        val CONNECT_PENALTY = 6.milliseconds
    }
}
