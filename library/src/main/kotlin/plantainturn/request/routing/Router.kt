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
 * Of the upstreams that hold the target ready and have room, two are drawn at random, with the one that should have
 * the longest prefix of the prompt in its cache as a third; the one with the shortest expected time to the first token
 * is chosen. Drawing keeps nodes that share one lagging view from all choosing the same upstream. Suspected upstreams
 * and those that the query avoids are chosen only when there is no other.
 *
 * A decision reads only its arguments, the estimate's inputs and [random], and does no input or output.
 */
public class Router(
    private val estimate: FirstTokenEstimator,
    private val prefixCache: PrefixCacheIndex,
    private val random: Random,
) {
    /**
     * Returns where a request should go.
     *
     * @param baseModel the base model if the query's target is an adapter
     */
    public fun route(
        index: RoutingIndex,
        query: RouteQuery,
        baseModel: ModelName?,
        now: Moment,
    ): RouteDecision {
        val holders = index.holders(query.target)
        if (holders.isEmpty()) return withoutHolder(index, query.target, baseModel)
        val permitted = if (query.confinedTo.isEmpty()) holders else holders.filter { it.name in query.confinedTo }
        if (permitted.isEmpty()) return RouteDecision.NoneHolds
        val preferred = bestRank(permitted, query)
        val roomy = preferred.mapNotNull { candidateWithRoom(it, now) }
        if (roomy.isEmpty()) return RouteDecision.Busy
        return choose(draw(roomy, query), query, now)
    }

    private fun withoutHolder(
        index: RoutingIndex,
        target: ModelName,
        baseModel: ModelName?,
    ): RouteDecision {
        val baseIsReady = baseModel != null && index.holders(baseModel).isNotEmpty()
        return if (baseIsReady || index.isLoading(target)) RouteDecision.Arriving else RouteDecision.NoneHolds
    }

    private fun bestRank(
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
        estimate
            .useOf(view, now)
            .takeIf { it.hasRoom && estimate.load(view, it) < it.loadLimit }
            ?.let { Candidate(view, it) }

    private fun draw(
        roomy: List<Candidate>,
        query: RouteQuery,
    ): List<Candidate> {
        if (roomy.size <= DRAWN) return roomy
        val first = random.nextInt(roomy.size)
        val second = (first + 1 + random.nextInt(roomy.size - 1)) % roomy.size
        val drawn = listOf(roomy[first], roomy[second])
        val holder = prefixCache.longestHolder(query.prefixes) ?: return drawn
        return drawn + roomy.filter { it.view.name == holder }
    }

    private fun choose(
        drawn: List<Candidate>,
        query: RouteQuery,
        now: Moment,
    ): RouteDecision {
        var best: Candidate = drawn.first()
        var shortest = Duration.INFINITE
        for (candidate in drawn) {
            val expected = estimate.firstToken(candidate.view, candidate.use, query, now)
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
        const val DRAWN = 2
        const val SUSPECTED_RANK = 1
        const val AVOIDED_RANK = 2
    }
}
