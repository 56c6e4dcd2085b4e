package plantainturn.request.routing

import plantainturn.connection.upstream.UpstreamUse
import plantainturn.connection.upstream.UpstreamView
import plantainturn.process.time.Moment
import plantainturn.version.configuration.ModelName
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Chooses the upstream for a request.
 *
 * Of the upstreams that hold the target ready and are below their limits, two are sampled at random; the one expected
 * to have the longest prefix of the prompt in its cache is added as a third. The candidate with the shortest expected
 * time to the first token is chosen. Sampling keeps nodes that share one outdated view from all choosing the same
 * upstream. Suspected upstreams and those that the query avoids are considered only if there is no other.
 *
 * A decision depends only on its arguments, the inputs of [estimator] and [random], and does no I/O.
 */
public class Router(
    private val estimator: FirstTokenEstimator,
    private val prefixCache: PrefixCacheIndex,
    private val random: Random,
) {
    /**
     * Returns the routing decision for [query].
     *
     * @param baseModel the base model if the target of [query] is an adapter, null otherwise
     */
    public fun route(
        index: RoutingIndex,
        query: RouteQuery,
        baseModel: ModelName?,
        now: Moment,
    ): RouteDecision {
        val holders = index.holders(query.target)
        if (holders.isEmpty()) return decideWithoutHolder(index, query.target, baseModel)
        val permitted = if (query.confinedTo.isEmpty()) holders else holders.filter { it.name in query.confinedTo }
        if (permitted.isEmpty()) return RouteDecision.NoHolder
        val preferredHolders = lowestRanked(permitted, query)
        val available = preferredHolders.mapNotNull { candidateWithRoom(it, now) }
        if (available.isEmpty()) return RouteDecision.Busy
        return choose(sample(available, query), query, now)
    }

    private fun decideWithoutHolder(
        index: RoutingIndex,
        target: ModelName,
        baseModel: ModelName?,
    ): RouteDecision {
        val baseIsReady = baseModel != null && index.holders(baseModel).isNotEmpty()
        return if (baseIsReady || index.isLoading(target)) RouteDecision.Pending else RouteDecision.NoHolder
    }

    private fun lowestRanked(
        holders: List<UpstreamView>,
        query: RouteQuery,
    ): List<UpstreamView> {
        if (query.avoided.isEmpty() && holders.none { it.suspected }) return holders
        val best = holders.minOf { rank(it, query) }
        return holders.filter { rank(it, query) == best }
    }

    private fun rank(
        view: UpstreamView,
        query: RouteQuery,
    ): Int {
        val avoided = if (view.name in query.avoided) AVOIDED_RANK else 0
        val suspected = if (view.suspected) SUSPECTED_RANK else 0
        return avoided + suspected
    }

    private fun candidateWithRoom(
        view: UpstreamView,
        now: Moment,
    ): Candidate? =
        estimator
            .useOf(view, now)
            .takeIf { it.hasRoom && estimator.expectedLoad(view, it) < it.loadLimit }
            ?.let { Candidate(view, it) }

    private fun sample(
        available: List<Candidate>,
        query: RouteQuery,
    ): List<Candidate> {
        if (available.size <= SAMPLE_SIZE) return available
        val first = random.nextInt(available.size)
        val second = (first + 1 + random.nextInt(available.size - 1)) % available.size
        val sampled = listOf(available[first], available[second])
        val holder = prefixCache.longestPrefixHolder(query.prefixes) ?: return sampled
        return sampled + available.filter { it.view.name == holder }
    }

    private fun choose(
        sampled: List<Candidate>,
        query: RouteQuery,
        now: Moment,
    ): RouteDecision {
        var best: Candidate = sampled.first()
        var shortest = Duration.INFINITE
        for (candidate in sampled) {
            val expected = estimator.timeToFirstToken(candidate.view, candidate.use, query, now)
            if (expected < shortest) {
                best = candidate
                shortest = expected
            }
        }
        return RouteDecision.Chosen(best.view, shortest)
    }

    private class Candidate(
        val view: UpstreamView,
        val use: UpstreamUse,
    )

    private companion object {
        const val SAMPLE_SIZE = 2
        const val SUSPECTED_RANK = 1
        const val AVOIDED_RANK = 2
    }
}
