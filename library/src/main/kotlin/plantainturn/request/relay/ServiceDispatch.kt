package plantainturn.request.relay

import kotlin.random.Random
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
public class ServiceDispatch(
    private val random: Random = Random.Default,
) {
    /** Returns where a request goes, given the [candidates] of its service. */
    public fun decide(
        query: DispatchQuery,
        candidates: List<DispatchCandidate>,
    ): DispatchDecision {
        val available = candidates.filter { it.backoffRemaining == null }
        if (available.isEmpty()) return decideWithoutAvailable(candidates)
        val eligible = available.filter { !it.suspected }.ifEmpty { available }
        val best = best(eligible)
        // One that limits its requests may cost more for its wait alone.
        val limited = eligible.filter { it.permitWait != null && !isFull(it) }.minByOrNull { cost(it) }
        val choice = if (isFull(best)) limited else best
        if (choice != null) return DispatchDecision.Send(choice.name, query.urgency, Duration.ZERO)
        val retryAfter = minOf(query.maximumRetryAfter, FULL_QUEUE_RETRY_AFTER)
        return DispatchDecision.Rejected(retryAfter, retryAfter)
    }

    /**
     * Returns the candidate with the shortest expected answer, or the better one of two random candidates.
     *
     * Where instances state their speed, all nodes see the same figures, and would all choose the same instance until
     * they hear of each other's requests. So each node draws two, in proportion to the work that they take. While the
     * best one is nearly idle that costs more than it saves: traffic between failure domains and new connections.
     */
    private fun best(candidates: List<DispatchCandidate>): DispatchCandidate {
        if (candidates.none { it.pace != null }) return candidates.minBy { cost(it) }
        val least = candidates.mapNotNull { it.pace?.learned }.minOrNull() ?: UNKNOWN_ANSWER_SECONDS
        val withRoom = candidates.filterNot(::isFull).ifEmpty { candidates }
        val costs = withRoom.associateWith { learnedCost(it, least) }
        val best = costs.minBy { it.value }.key
        // One that limits its requests is used only where it is the best: a draw would ignore its wait.
        val drawn = withRoom.filter { it.permitWait == null }
        if (best !in drawn || best.running < best.concurrency * LOW_LOAD_SHARE) return best
        val rates = drawn.map { it.concurrency / (it.pace?.inUse(least) ?: least) }
        return List(CHOICES) { draw(drawn, rates) }.minBy(costs::getValue)
    }

    private fun draw(
        candidates: List<DispatchCandidate>,
        weights: List<Double>,
    ): DispatchCandidate {
        var position = random.nextDouble() * weights.sum()
        for ((index, weight) in weights.withIndex()) {
            position -= weight
            if (position < 0.0) return candidates[index]
        }
        return candidates.last()
    }

    private fun learnedCost(
        candidate: DispatchCandidate,
        least: Double,
    ): Double {
        val pace = candidate.pace ?: return cost(candidate, candidate.answerSeconds ?: least)
        val failures = pace.failureShare * FAILURE_COST.toDouble(DurationUnit.SECONDS)
        return cost(candidate, pace.inUse(least)) + failures
    }

    private fun isFull(candidate: DispatchCandidate): Boolean =
        candidate.running >= candidate.concurrency * QUEUE_FACTOR

    private fun cost(
        candidate: DispatchCandidate,
        answer: Double = candidate.answerSeconds ?: UNKNOWN_ANSWER_SECONDS,
    ): Double {
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

        /** Share of the slots in use below which an instance counts as idle, although other nodes may send as well. */
        const val LOW_LOAD_SHARE = 0.25

        /** The power of two choices; a third made nodes agree more often on the same instance in the replays. */
        const val CHOICES = 2

        /** A failed request costs its caller about the objective of a plain service. */
        val FAILURE_COST = 200.milliseconds
        val CROSS_DOMAIN_PENALTY = 4.milliseconds

        /** A round trip and the work of the instance for a new connection. */
        val CONNECT_PENALTY = 6.milliseconds
    }
}
