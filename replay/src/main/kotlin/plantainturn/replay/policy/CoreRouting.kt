package plantainturn.replay.policy

import kotlinx.collections.immutable.persistentSetOf
import plantainturn.connection.upstream.SendPermit
import plantainturn.connection.upstream.UpstreamUsage
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.replay.world.Dispatcher
import plantainturn.replay.world.RequestRun
import plantainturn.replay.world.RunState
import plantainturn.replay.world.UpstreamStatus
import plantainturn.replay.world.Upstreams
import plantainturn.request.RequestPriority
import plantainturn.request.admission.AdmissionListener
import plantainturn.request.admission.AdmissionQueue
import plantainturn.request.admission.AdmissionRefusal
import plantainturn.request.admission.AdmissionTicket
import plantainturn.request.admission.StartResult
import plantainturn.request.routing.FirstTokenEstimator
import plantainturn.request.routing.PrefixCacheIndex
import plantainturn.request.routing.RemoteSends
import plantainturn.request.routing.RouteDecision
import plantainturn.request.routing.RouteQuery
import plantainturn.request.routing.Router
import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.UpstreamName
import kotlin.random.Random

/** The library's own routing and admission, one set a node, with gossip carried between them every tick. */
internal class CoreRouting(
    private val configuration: Configuration,
    nodeCount: Int,
    private val dispatcher: Dispatcher,
    private val upstreams: Upstreams,
    private val timer: TimerService,
    private val random: Random,
) : RoutingPolicy {
    private val views = UpstreamViews(upstreams, timer)
    private val gossip = SendGossip(upstreams, nodeCount)
    private val nodes = List(nodeCount) { CoreNode(it) }
    private val permits = HashMap<RequestRun, SendPermit>()

    override fun arrived(run: RequestRun) = nodes[run.node].submit(run)

    override fun refused(run: RequestRun) = nodes[run.node].submit(run)

    override fun broken(run: RequestRun) = nodes[run.node].submit(run)

    override fun left(
        run: RequestRun,
        status: UpstreamStatus,
    ) {
        val failed = run.state == RunState.SENT && run.answerIsMissing()
        permits.remove(run)?.let { permit ->
            run.firstTokenAt?.let { permit.firstToken(it, run.firstTokenTarget) }
            permit.end(timer.now(), failed, slowness(run))
        }
        gossip.add(run.node, status.index, -1)
    }

    override fun finished(
        run: RequestRun,
        status: UpstreamStatus,
    ) = nodes[run.node].queue.startWaitingRequests()

    override fun tick() {
        gossip.exchange(timer.now())
        nodes.forEach { it.queue.startWaitingRequests() }
    }

    /** Whether the whole answer of an interactive request was slow, null if there is none. */
    private fun slowness(run: RequestRun): Boolean? {
        val attempt = run.attempt ?: return null
        if (attempt.answerRemaining != 0 || run.record.priority != RequestPriority.INTERACTIVE) return null
        return attempt.slowTokens > SLOW_SHARE * attempt.generated
    }

    private fun RequestRun.answerIsMissing(): Boolean = attempt?.answerRemaining != 0

    private inner class CoreNode(
        private val number: Int,
    ) {
        private val usage = UpstreamUsage()
        private val cache = PrefixCacheIndex()
        private val remote =
            RemoteSends {
                name,
                since,
                ->
                gossip.othersSince(number, upstreams.find(name).index, since)
            }
        private val router = Router(FirstTokenEstimator(null, usage, remote, cache), cache, random)
        val queue = AdmissionQueue(timer)

        fun submit(run: RequestRun) = queue.submit(ticket(run), Start(run))

        private fun ticket(run: RequestRun): AdmissionTicket =
            AdmissionTicket(
                target = run.record.target,
                team = run.record.team,
                share = 1,
                waitingLimit = TEAM_WAITING_LIMIT,
                priority = run.record.priority,
                latestStart = run.deadline,
                resumed = run.generated > 0,
            )

        private fun tryStart(run: RequestRun): StartResult {
            if (run.state != RunState.WAITING) return StartResult.Started
            val avoided = run.avoided?.let { persistentSetOf(it.engine.name) } ?: persistentSetOf<UpstreamName>()
            val baseModel = configuration.adapters[run.record.target]?.baseModel
            val query = RouteQuery(run.record.target, avoided = avoided)
            val decision = router.route(views.index(), query, baseModel, timer.now())
            if (decision !is RouteDecision.Chosen) return StartResult.Busy
            val view = decision.upstream
            permits[run] = usage.tryBegin(view.name, view.specification, timer.now()) ?: return StartResult.Busy
            val status = upstreams.find(view.name)
            gossip.add(number, status.index, 1)
            dispatcher.send(run, status)
            return StartResult.Started
        }

        private inner class Start(
            private val run: RequestRun,
        ) : AdmissionListener {
            override fun tryStart(): StartResult = tryStart(run)

            override fun refused(refusal: AdmissionRefusal) {
                if (run.state == RunState.WAITING) dispatcher.refuse(run)
            }
        }
    }

    private companion object {
        const val TEAM_WAITING_LIMIT = 256
        const val SLOW_SHARE = 0.05
    }
}

/** What nodes tell each other of their sends, as of the last exchanges. */
internal class SendGossip(
    upstreams: Upstreams,
    nodeCount: Int,
) {
    private class Exchange(
        val at: Moment,
        val own: List<IntArray>,
        val totals: IntArray,
    )

    private val sent = List(nodeCount) { IntArray(upstreams.all.size) }
    private val exchanges = ArrayDeque<Exchange>()

    fun add(
        node: Int,
        upstream: Int,
        change: Int,
    ) {
        sent[node][upstream] += change
    }

    fun exchange(now: Moment) {
        val totals = IntArray(sent.first().size) { index -> sent.sumOf { it[index] } }
        exchanges.addLast(Exchange(now, sent.map { it.copyOf() }, totals))
        if (exchanges.size > KEPT) exchanges.removeFirst()
    }

    fun othersSince(
        node: Int,
        upstream: Int,
        since: Moment,
    ): Int {
        val latest = exchanges.lastOrNull() ?: return 0
        val before = exchanges.lastOrNull { it.at <= since } ?: exchanges.first()
        return others(latest, node, upstream) - others(before, node, upstream)
    }

    private fun others(
        exchange: Exchange,
        node: Int,
        upstream: Int,
    ): Int = exchange.totals[upstream] - exchange.own[node][upstream]

    private companion object {
        const val KEPT = 20
    }
}
