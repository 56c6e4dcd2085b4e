package plantainturn.request.relay

import kotlinx.collections.immutable.persistentListOf
import plantainturn.process.time.Moment
import plantainturn.version.configuration.ModelName
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Replays one [load] on its servers as [nodes] dispatch it, without a network.
 *
 * Each node knows its own requests at once and those of the others as of the last exchange.
 */
internal class UnevenReplay(
    private val load: ReplayLoad,
    private val nodes: Int,
    private val mode: Mode,
    seed: Int,
) {
    private val servers = load.servers()
    private val random = Random(seed)
    private val isEngine = servers.first().isEngine
    private val objective = if (isEngine) ENGINE_OBJECTIVE else SERVICE_OBJECTIVE
    private val views = List(nodes) { View(it) }
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.number }))
    private var now = Moment.ORIGIN
    private var scheduled = 0L
    private var arrived = 0
    private var kept = 0
    private var refused = 0

    fun play(): Result {
        schedule(now, ::arrive)
        schedule(now, ::exchange)
        while (true) {
            val event = events.poll() ?: break
            now = event.at
            event.action()
        }
        val amounts = servers.map { if (isEngine) it.work.toDouble(DurationUnit.SECONDS) else it.taken.toDouble() }
        return Result(
            kept = kept.toDouble() / arrived,
            busiestToMean = amounts.max() / amounts.average(),
            cachedTokens = servers.sumOf { it.cachedTokens },
            refused = refused.toDouble() / arrived,
            leastTaken = servers.minOf { it.taken },
        )
    }

    private fun arrive() {
        if (now - Moment.ORIGIN > LASTING) return
        schedule(now + (-ln(1.0 - random.nextDouble()) / load.perSecond).seconds, ::arrive)
        arrived += 1
        val node = random.nextInt(nodes)
        val demand = if (isEngine) demand() else null
        val serviceTime = (SERVICE_TIME * -ln(1.0 - random.nextDouble()))
        val view = views[node]
        val candidates = servers.map { view.candidate(it, demand) }
        val query = query(demand)
        val decision = if (isEngine) view.engines.decide(query, candidates) else view.services.decide(query, candidates)
        if (decision !is DispatchDecision.Send) return
        val server = servers.first { it.name == decision.instance }
        val stats = view.statsOf(server)
        stats.health.onSend(now)
        val failure =
            when {
                server.fails(now) -> FailureKind.ERROR
                server.running >= server.slots * REFUSED_FROM -> FailureKind.REFUSED
                else -> null
            }
        if (failure != null) {
            if (failure == FailureKind.REFUSED) refused += 1
            stats.health.onFailure(failure, now)
            stats.pace.onFailure(now)
            return
        }
        val unread = (demand?.promptTokens ?: 0) - candidates.first { it.name == server.name }.cachedTokens
        val work =
            demand?.let { RequestWork(unread, unread + it.outputTokens, READING_TIME * unread) } ?: RequestWork.NONE
        val crowding = stats.crowding(server.slots, now)
        stats.begin(work, now)
        demand?.let { view.prompts.onSend(server.name, it) }
        server.arrive(ReplayServer.Arrival(now, node, serviceTime, demand, work, decision, crowding))
        beginNext(server)
    }

    private fun beginNext(server: ReplayServer) {
        val begun = server.beginNext(now) ?: return
        schedule(begun.firstEventAt) { firstEvent(server, begun.arrival) }
        schedule(begun.endAt) { end(server, begun.arrival) }
    }

    private fun firstEvent(
        server: ReplayServer,
        arrival: ReplayServer.Arrival,
    ) {
        if (now - arrival.sentAt <= objective) kept += 1
        val view = views[arrival.node]
        val stats = view.statsOf(server)
        stats.onReportedLoad(
            ReportedLoad(
                server.running,
                0,
                server.slots,
                server.stated(now).takeIf {
                    mode ==
                        Mode.STATED
                },
            ),
            now,
        )
        stats.onPrefillDone(arrival.requestWork)
        val demand = arrival.demand
        if (demand == null) {
            stats.onAnswerTime(now - arrival.sentAt)
            stats.pace.onSample((now - arrival.sentAt).toDouble(DurationUnit.SECONDS) / arrival.crowding, now)
            return
        }
        view.prompts.onPrefillEnd(server.name, demand)
        view.prompts.onPrefillDone(server.name, demand)
        val tokens = arrival.decision.tokensAhead + arrival.requestWork.prefillTokens
        if (arrival.crowding == 1.0 && tokens >= InstancePace.MINIMUM_SAMPLE_TOKENS) {
            stats.pace.onSample((now - arrival.sentAt) / view.estimator.timeToFirstEvent(demand.model, tokens), now)
        }
        if (arrival.decision.tokensAhead == 0) {
            view.estimator.observe(demand.model, arrival.requestWork.prefillTokens, now - arrival.sentAt)
        }
    }

    private fun end(
        server: ReplayServer,
        arrival: ReplayServer.Arrival,
    ) {
        server.end()
        val stats = views[arrival.node].statsOf(server)
        stats.end(arrival.requestWork, prefillDone = true)
        stats.health.onSuccess(now)
        stats.pace.onSuccess(now)
        beginNext(server)
    }

    private fun exchange() {
        if (now - Moment.ORIGIN > LASTING) return
        schedule(now + EXCHANGE_PERIOD, ::exchange)
        for (server in servers) {
            val own = views.map { it.statsOf(server).ownTotals(now) }
            val all = own.fold(WorkTotals.NONE, WorkTotals::plus)
            views.forEachIndexed { node, view -> view.statsOf(server).others = all - own[node] }
        }
        val parts = views.flatMap { it.prompts.takeUnannounced() }
        for (view in views) view.prompts.merge(parts)
    }

    private fun InstanceStats.ownTotals(now: Moment) =
        WorkTotals(ownRunning, ownPrefillTokens, ownUsedCacheTokens, ownPrefillShare(now))

    /** Returns a demand with one of few subjects, of which the first are asked for far more often. */
    private fun demand(): GenerationDemand {
        val subject = (load.subjects * random.nextDouble() * random.nextDouble() * random.nextDouble()).toInt()
        val isShared = random.nextDouble() < load.sharedShare
        val shared = if (isShared) 1_000 + subject * 397 % 3_000 else 0
        val own = 100 + (1_500 * random.nextDouble() * random.nextDouble()).toInt()
        val ownPart = PromptPart("request-$scheduled", own)
        val parts =
            if (isShared) {
                persistentListOf(
                    PromptPart("subject-$subject", shared),
                    ownPart,
                )
            } else {
                persistentListOf(ownPart)
            }
        return GenerationDemand(MODEL, null, shared + own, 20 + random.nextInt(130), parts)
    }

    private fun query(demand: GenerationDemand?) =
        DispatchQuery(
            demand = demand,
            urgency = 1,
            objectiveLeft = objective,
            timeLeft = objective * 4,
            maximumRetryAfter = 1.seconds,
            cacheCapacityTokens = 1_000_000,
            affinity = demand?.let { (it.lastSharedPart ?: it.parts.last().identifier).hashCode().toLong() } ?: 0,
            sharesPrompt = demand?.lastSharedPart != null,
        )

    private fun schedule(
        at: Moment,
        action: () -> Unit,
    ) {
        events += Event(at, scheduled++, action)
    }

    /** What one node knows. */
    private inner class View(
        private val index: Int,
    ) {
        val estimator = EngineTimeEstimator()
        val engines = EngineDispatch(estimator)
        val services = ServiceDispatch(random)
        val prompts = PromptCacheTracker()
        private val stats = HashMap<ReplayServer, InstanceStats>()

        fun statsOf(server: ReplayServer) = stats.getOrPut(server) { InstanceStats(0) }

        fun candidate(
            server: ReplayServer,
            demand: GenerationDemand?,
        ): DispatchCandidate {
            val known = statsOf(server)
            return DispatchCandidate(
                name = server.name,
                concurrency = server.slots,
                running = known.running(now),
                prefillTokens = known.prefillTokens(),
                prefillShare = known.prefillShare(now),
                usedCacheTokens = known.usedCacheTokens(),
                cachedTokens = demand?.let { prompts.cachedTokens(server.name, it) } ?: 0,
                sameDomain = servers.indexOf(server) % DOMAINS == index % DOMAINS,
                connected = true,
                suspected = known.health.isSuspected(now),
                answerSeconds = known.answerTime?.toDouble(DurationUnit.SECONDS),
                pace = known.pace.estimate(now).takeIf { mode == Mode.LEARNED || it.isInUse },
            )
        }
    }

    /** What dispatch goes by. */
    enum class Mode {
        FIXED,
        LEARNED,
        STATED,
    }

    /**
     * What a play came to.
     *
     * @property kept share of the requests that were answered within their objective
     * @property busiestToMean work of the busiest server, in proportion to the mean
     * @property cachedTokens prompt tokens that engines found in their caches
     * @property refused share of the requests that were sent to a server whose queue was full
     * @property leastTaken requests of the server with the fewest
     */
    data class Result(
        val kept: Double,
        val busiestToMean: Double,
        val cachedTokens: Long,
        val refused: Double,
        val leastTaken: Int,
    )

    private class Event(
        val at: Moment,
        val number: Long,
        val action: () -> Unit,
    )

    private companion object {
        val MODEL = ModelName("model")
        val SERVICE_TIME = 20.milliseconds
        val SERVICE_OBJECTIVE = 100.milliseconds
        val ENGINE_OBJECTIVE = 600.milliseconds
        val EXCHANGE_PERIOD = 200.milliseconds
        val LASTING = 30.seconds
        val READING_TIME = 0.026.milliseconds
        const val DOMAINS = 3
        const val REFUSED_FROM = 3
    }
}
