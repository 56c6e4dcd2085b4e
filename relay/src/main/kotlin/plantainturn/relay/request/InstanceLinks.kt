package plantainturn.relay.request

import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpResponse
import plantainturn.connection.http.HeldBytes
import plantainturn.connection.roster.InstanceNotice
import plantainturn.connection.roster.InstanceRun
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.relay.http.ConnectionPool
import plantainturn.relay.http.ConnectionResult
import plantainturn.request.relay.DispatchCandidate
import plantainturn.request.relay.GenerationDemand
import plantainturn.request.relay.InstanceStats
import plantainturn.request.relay.PaceEstimate
import plantainturn.request.relay.PromptCacheTracker
import plantainturn.request.relay.ReachState
import plantainturn.request.relay.WorkTotals
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * This node's connections to instances, and its knowledge of the work in progress there.
 *
 * @param permits permits for sends to instances that limit their requests
 * @param notices receives the notices that instances attach to answers
 * @param reach whether this node reaches the services
 * @param held bounds the memory of incomplete answers
 * @param noticeOf decodes a notice from the head of an answer
 */
public class InstanceLinks(
    private val loop: EventLoop,
    private val timer: TimerService,
    private val ownDomain: FailureDomain,
    private val notices: InstanceNotices,
    internal val permits: SendPermits,
    internal val reach: UpstreamReach,
    private val held: HeldBytes,
    private val noticeOf: (HttpResponse) -> InstanceNotice,
) : SignsOfLife,
    UpstreamPaths {
    private val links = HashMap<UpstreamName, Link>()

    private val runs = HashMap<Pair<UpstreamName, ModelName>, Int>()

    /** The prompt prefixes that engines keep in their caches. */
    internal val prompts: PromptCacheTracker = PromptCacheTracker()

    /** Returns this node's own work in progress at each instance. */
    public fun ownTotals(): Map<UpstreamName, WorkTotals> {
        val now = timer.now()
        return links
            .mapValues { (_, link) ->
                val stats = link.stats
                val reading = stats.ownPrefillShare(now)
                val heard = stats.latestHeardAt?.let { (now - it).inWholeMilliseconds }
                WorkTotals(stats.ownRunning, stats.ownPrefillTokens, stats.ownUsedCacheTokens, reading, heard)
            }.filterValues { it.running > 0 }
    }

    /** Returns the number of this node's running requests by engine and model, for those where [isDeparting]. */
    public fun ownRuns(isDeparting: (UpstreamName, ModelName) -> Boolean): Map<Pair<UpstreamName, ModelName>, Int> =
        runs.filterKeys { (engine, model) -> isDeparting(engine, model) }

    /** Adds [change] to the running requests for [model] at [engine]: 1 when one is sent, -1 when it ends. */
    internal fun onRun(
        engine: UpstreamName,
        model: ModelName,
        change: Int,
    ) {
        runs.merge(engine to model, change) { before, more -> (before + more).takeIf { it > 0 } }
    }

    /** Sets the work of the other nodes at each instance, as it was at [asOf]. */
    public fun onPeerWork(
        totals: Map<UpstreamName, WorkTotals>,
        asOf: Moment,
    ) {
        for ((name, link) in links) {
            val others = totals[name] ?: WorkTotals.NONE
            link.stats.others = others
            others.heardMilliseconds?.let { link.stats.onHeardElsewhere(asOf - it.milliseconds) }
        }
    }

    /** Returns how fast each instance works, as far as this node has heard of it. */
    internal fun paces(): Map<UpstreamName, PaceEstimate> {
        val now = timer.now()
        return links.mapValues { (_, link) -> link.stats.pace.estimate(now) }
    }

    /** Returns the instances that this node suspects because of error answers, with the remaining time. */
    public fun suspicions(): Map<UpstreamName, Duration> {
        val now = timer.now()
        return links
            .mapNotNull { (name, link) ->
                link.stats.health
                    .suspicionToShare(now)
                    ?.let { name to it }
            }.toMap()
    }

    /** Applies the suspicions of the other nodes, by instance and with the remaining time. */
    public fun onSuspicions(elsewhere: Map<UpstreamName, Duration>) {
        val now = timer.now()
        for ((name, link) in links) link.stats.health.onPeerSuspicion(elsewhere[name], now)
    }

    /** Closes the connections to instances that are not in [present] or have restarted. */
    public fun retain(present: Map<UpstreamName, UpstreamInstance>) {
        val gone = links.filter { (name, link) -> present[name]?.let { link.isFor(it) } != true }.keys
        for (name in gone) links.remove(name)?.pool?.close()
        prompts.retain { engine, _ -> engine !in gone }
    }

    /** Closes the idle connections to [run], and those in use when they become idle. */
    public fun drain(run: InstanceRun) {
        val link = links[run.name] ?: return
        if (link.stats.startedAt == run.startedAt) link.pool.close()
    }

    /** Returns how many requests per second [instance] accepts from all nodes together, null if it has no limit. */
    internal fun limitOf(instance: UpstreamInstance): Double? = notices.limitOf(instance.run)

    /** Returns whether [instance] falls over when it turns too many requests away. */
    internal fun isBrittle(instance: UpstreamInstance): Boolean = notices.isBrittle(instance)

    /** Returns how many permits a second there are for [instance], about; null if it needs none. */
    internal fun permitRateOf(instance: UpstreamInstance): Double? =
        limitOf(instance) ?: PLACES_PER_SECOND.takeIf { isBrittle(instance) }

    /**
     * Returns how much longer [instance] must get no request that waits on [terms]; null if it may get one.
     */
    internal fun backoffOf(
        instance: UpstreamInstance,
        terms: PermitTerms,
    ): Duration? = notices.restOf(instance) ?: permits.waitFor(instance, terms.urgency)?.takeIf { it > terms.patience }

    override fun answeredSince(
        instance: UpstreamInstance,
        moment: Moment,
    ): Boolean = knownStats(instance)?.latestAnsweredSendAt?.let { it > moment } ?: false

    override fun heardSince(
        instance: UpstreamInstance,
        moment: Moment,
    ): Boolean = knownStats(instance)?.latestHeardAt?.let { it > moment } ?: false

    override fun reachOf(instance: UpstreamInstance): ReachState = reach.stateOf(instance.service)

    override fun wasCutOffSince(
        instance: UpstreamInstance,
        moment: Moment,
    ): Boolean = reach.lastCutOffAt(instance.service)?.let { it > moment } ?: false

    override fun heardElsewhereAt(instance: UpstreamInstance): Moment? = knownStats(instance)?.heardElsewhereAt

    override fun connect(
        instance: UpstreamInstance,
        done: (Boolean) -> Unit,
    ) {
        val pool = pool(instance)
        pool.acquire(maximumIdle = null) { result ->
            if (result is ConnectionResult.Ready) {
                pool.onIdle(result.connection)
                timer.schedule(RESET_TIME) { done(result.connection.isOpen) }
            } else {
                done(false)
            }
        }
    }

    override fun isTriedElsewhere(instance: UpstreamInstance): Boolean =
        knownStats(instance)?.let { it.others.running > 0 } ?: false

    /** Drops idle connections to [service], from which this node is cut off, or which it reaches again. */
    internal fun onReachChanged(
        service: ServiceName,
        isCutOff: Boolean,
    ) {
        val now = timer.now()
        for (link in links.values.filter { it.service == service }) {
            if (isCutOff) link.pool.dropIdle() else link.stats.health.reset(now)
        }
    }

    override fun livedSince(
        instance: UpstreamInstance,
        moment: Moment,
    ): Boolean = knownStats(instance)?.latestLifeAt?.let { it > moment } ?: false

    private fun knownStats(instance: UpstreamInstance): InstanceStats? =
        links[instance.name]?.takeIf { it.isFor(instance) }?.stats

    internal fun stats(instance: UpstreamInstance): InstanceStats = link(instance).stats

    internal fun pool(instance: UpstreamInstance): ConnectionPool = link(instance).pool

    internal fun candidate(
        instance: UpstreamInstance,
        demand: GenerationDemand?,
        terms: PermitTerms,
    ): DispatchCandidate {
        val stats = link(instance).stats
        val now = timer.now()
        return DispatchCandidate(
            name = instance.name,
            concurrency = instance.concurrency,
            running = stats.running(now),
            prefillTokens = stats.prefillTokens(),
            prefillShare = stats.prefillShare(now),
            usedCacheTokens = stats.usedCacheTokens(),
            cachedTokens = demand?.let { prompts.cachedTokens(instance.name, it) } ?: 0,
            sameDomain = instance.domain == ownDomain,
            connected = link(instance).pool.hasIdle,
            suspected = stats.health.isSuspected(now),
            answerSeconds = stats.answerTime?.toDouble(DurationUnit.SECONDS),
            backoffRemaining = backoffOf(instance, terms),
            permitWait = permits.waitFor(instance, terms.urgency),
            pace = stats.pace.estimate(now).takeIf { it.isInUse },
        )
    }

    private fun link(instance: UpstreamInstance): Link {
        val known = links[instance.name]
        if (known != null && known.isFor(instance)) return known
        known?.pool?.close()
        val others = known?.stats?.others ?: WorkTotals.NONE
        val pool =
            ConnectionPool(loop, instance.location, timer, held) { head, askedAt ->
                notices.onNotice(instance, noticeOf(head), askedAt)
            }
        val created = Link(instance, InstanceStats(instance.startedAt), pool)
        created.stats.others = others
        links[instance.name] = created
        return created
    }

    private class Link(
        private val instance: UpstreamInstance,
        val stats: InstanceStats,
        val pool: ConnectionPool,
    ) {
        val service: ServiceName
            get() = instance.service

        fun isFor(other: UpstreamInstance): Boolean =
            instance.location == other.location && instance.startedAt == other.startedAt
    }

    private companion object {
        /** A waiting request has a place at a busy instance that often, at least. */
        const val PLACES_PER_SECOND = 5.0

        /** A connection that is reset as soon as it is accepted has ended by then. */
        val RESET_TIME = 100.milliseconds
    }
}
