package plantainturn.request.routing

import plantainturn.connection.upstream.UpstreamUsage
import plantainturn.connection.upstream.UpstreamUse
import plantainturn.connection.upstream.UpstreamView
import plantainturn.process.time.Moment
import plantainturn.version.configuration.FailureDomain
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Estimates the time to the first token at an upstream.
 *
 * The latest report lags behind, so it is corrected by what this node has sent since it was taken and by what other
 * nodes have sent since according to gossip.
 *
 * @param ownDomain the failure domain of this node; upstreams in other domains have a slightly higher latency
 */
public class FirstTokenEstimator(
    private val ownDomain: FailureDomain?,
    private val usage: UpstreamUsage,
    private val remoteSends: RemoteSends,
    private val prefixCache: PrefixCacheIndex,
) {
    /** Returns this node's use of [view], with its sends counted from the time of the latest report. */
    public fun useOf(
        view: UpstreamView,
        now: Moment,
    ): UpstreamUse = usage.read(view.name, view.specification, view.reportTakenAt, now)

    /** Returns the expected time to the first token of [query] at [view], where [use] is this node's use of it. */
    public fun timeToFirstToken(
        view: UpstreamView,
        use: UpstreamUse,
        query: RouteQuery,
        now: Moment,
    ): Duration {
        val load = expectedLoad(view, use)
        val capacity = view.specification.concurrency.coerceAtLeast(1)
        val cached = prefixCache.cachedShare(view.name, query.prefixes, now)
        val prefill = use.firstToken * (1.0 - cached)
        val batchDelay = use.firstToken * (minOf(load, capacity).toDouble() / capacity)
        val queueDelay = use.hold * (maxOf(0, load + 1 - capacity).toDouble() / capacity)
        val networkLatency = if (view.specification.failureDomain == ownDomain) Duration.ZERO else OTHER_DOMAIN_LATENCY
        return prefill + batchDelay + queueDelay + networkLatency
    }

    /** Returns the number of requests that are expected to run or wait at [view] now. */
    public fun expectedLoad(
        view: UpstreamView,
        use: UpstreamUse,
    ): Int {
        val report = view.report ?: return use.inFlight
        val takenAt = view.reportTakenAt ?: return use.inFlight
        val reported = report.running + report.waiting
        val corrected = reported + use.netSince + remoteSends.netSince(view.name, takenAt)
        return maxOf(corrected, use.inFlight)
    }

    private companion object {
        val OTHER_DOMAIN_LATENCY = 2.milliseconds
    }
}
