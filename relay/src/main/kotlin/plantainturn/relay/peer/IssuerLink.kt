package plantainturn.relay.peer

import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.LogManager
import plantainturn.connection.roster.SocketLocation
import plantainturn.process.control.lease.StoreLease
import plantainturn.process.control.lease.StoreLeaseSettings
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.relay.http.HttpCall
import plantainturn.relay.http.HttpCallResult
import plantainturn.relay.http.HttpClient
import plantainturn.relay.request.FleetView
import plantainturn.relay.request.InstanceLinks
import plantainturn.relay.request.InstanceNotices
import plantainturn.relay.request.RelayMetrics
import plantainturn.relay.request.ResidenceClient
import plantainturn.relay.residence.ResidenceIssuer
import plantainturn.request.relay.NodeShare
import plantainturn.request.relay.StreamOrigins
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.UpstreamName
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Exchanges reports with the issuer of orders, which may be this node.
 *
 * Everything received is a hint: requests are processed without it, and a node reads the store if its hints are
 * outdated. A node that does not hear the issuer asks other nodes, each in turn, who it is.
 *
 * @param peers other nodes, to ask for the issuer
 * @param createReport returns this node's report, given what it has already received from the issuer
 * @param onIssuerReport called with each report of the issuer and when this node's report for it was sent
 */
internal class IssuerLink(
    private val lease: StoreLease,
    private val issuer: ResidenceIssuer,
    private val hub: PeerHub,
    private val caller: HttpClient,
    private val timer: TimerService,
    private val fleet: FleetView,
    private val links: InstanceLinks,
    private val notices: InstanceNotices,
    private val share: NodeShare,
    private val streamOrigins: StreamOrigins,
    private val peers: KnownPeers,
    private val forwarder: PeerForwarder,
    private val quotas: QuotaClient,
    private val metrics: RelayMetrics,
    private val createReport: (IssuerKnowledge) -> NodeReport,
    private val onIssuerReport: (IssuerReport, Moment) -> Unit,
) : ResidenceClient {
    private val logger = LogManager.getLogger("issuer-link")
    private var arrivals: Map<String, Long> = emptyMap()
    private var arrivalsAt = Moment.ORIGIN
    private var knowledge = IssuerKnowledge.NONE
    private var knowledgeIssuer: String? = null
    private var lastReportAt: Moment? = null
    private var lastNewsAt: Moment? = null
    private val lookUps = HolderLookUpSchedule(StoreLeaseSettings().contenderWait, Random.Default)
    private val pacing = ExchangePacing()
    private val exchanging = HashSet<SocketLocation>()
    private var lastSentAt = Moment.ORIGIN
    private var issuerStoreAnsweredAt: Moment? = null
    private var lastStepAt: Moment? = null
    private var hintedHolder: SocketLocation? = null
    private var hintedInsteadOf: SocketLocation? = null
    private var askPeerNext = false

    /** The number of nodes that the issuer last reported. */
    var nodes: Int = 1
        private set

    /** Returns whether the issuer has been silent for so long that another node should take over. */
    fun isIssuerMissing(): Boolean = lastReportAt?.let { timer.now() - it > pacing.issuerTimeout(nodes) } ?: true

    /** Returns whether a holder of the lease informs this node of what it reads, though it may not issue orders yet. */
    fun isInformed(): Boolean =
        !isIssuerMissing() || lastNewsAt?.let { timer.now() - it < pacing.issuerTimeout(nodes) } ?: false

    /** Returns how long ago the store last answered the issuer about instances, null if not reported. */
    fun issuerStoreAge(): Duration? = issuerStoreAnsweredAt?.let { timer.now() - it }

    /** Exchanges reports with the issuer if the next exchange is due and the last one has ended. */
    fun step() {
        val last = lastStepAt
        val isIssuer = lease.fence != null
        val interval = if (isIssuer) ExchangeTiming.period(nodes) else pacing.interval(nodes)
        if (last != null && timer.now() - last < interval - STEP_TOLERANCE) return
        lastStepAt = timer.now()
        if (isIssuer) {
            val own = createReport(knowledgeOf(SELF))
            applyReport(hub.exchange(own), own, SELF, timer.now())
        } else {
            stepAsNode()
        }
    }

    private fun stepAsNode() {
        val holder = holderLocation()
        if (holder == null || !isInformed()) lookUpIssuer(lease.holderRecord)
        if (exchanging.size >= MOST_EXCHANGES) return
        val asksPeer = holder == null || isIssuerMissing() && (askPeerNext || holder in exchanging)
        val location = if (asksPeer) peers.next() ?: holder else holder
        if (asksPeer) askPeerNext = false
        if (location != null && location !in exchanging) exchangeWith(location)
    }

    /** Returns where a peer believes the issuer, until the store names another one than before. */
    fun holderLocation(): SocketLocation? {
        val inStore = lease.holderLocation()
        if (inStore != hintedInsteadOf) hintedHolder = null
        return hintedHolder ?: inStore
    }

    /** Follows a node that does not order itself to the holder it knows, and otherwise asks another node next. */
    private fun onPeerReport(
        report: IssuerReport,
        from: SocketLocation,
        sentAt: Moment,
    ) {
        onIssuerReport(report, sentAt)
        peers.add(report.peers)
        val holder = report.holder?.let { SocketLocation.parse(it) }
        val known = holderLocation()
        if (holder == null) {
            onUnhelpful(from)
        } else if (holder != from && holder != known) {
            logger.info("event=issuer-hinted peer={} holder={} before={}", from, holder, known)
            hintedInsteadOf = lease.holderLocation()
            hintedHolder = holder
        }
        lookUpIssuer(silentHolder = null)
    }

    private fun onUnhelpful(location: SocketLocation) {
        if (location == hintedHolder) hintedHolder = null
        askPeerNext = true
    }

    override fun expectedArrival(model: ModelName): Duration? {
        val remaining = arrivals[model.value] ?: return null
        if (timer.now() - arrivalsAt > ExchangeTiming.maximumArrivalsAge(nodes)) return null
        return (remaining.milliseconds - (timer.now() - arrivalsAt)).coerceAtLeast(Duration.ZERO)
    }

    override fun wantAdapter(
        service: ServiceName,
        model: ModelName,
        adapter: ModelName,
        candidates: List<UpstreamName>,
        done: (UpstreamName?) -> Unit,
    ) {
        val answer = { engine: UpstreamName? ->
            if (engine != null) fleet.onAdapter(engine, model, adapter, present = true)
            done(engine)
        }
        if (lease.fence != null) return issuer.wantAdapter(service, model, adapter, candidates, answer)
        val location = lease.holderLocation() ?: return done(null)
        val wish = AdapterWish(service.value, model.value, adapter.value, candidates.map { it.value })
        val body = Json.encodeToString(AdapterWish.serializer(), wish).toByteArray()
        caller.call(location, HttpCall(HttpMethod.POST, ADAPTER_PATH, body), ADAPTER_TIMEOUT) { result ->
            answer(PeerMessage.decode(result, AdapterGrant.serializer())?.engine?.let(::UpstreamName))
        }
    }

    private fun exchangeWith(location: SocketLocation) {
        val from = location.toString()
        val sentAt = timer.now()
        exchanging += location
        val sent = createReport(knowledgeOf(from))
        val body = Json.encodeToString(NodeReport.serializer(), sent).toByteArray()
        metrics.onExchangeBytes(sent = true, "report", body.size)
        caller.call(location, HttpCall(HttpMethod.POST, EXCHANGE_PATH, body), ExchangePacing.ANSWER_TIMEOUT) { result ->
            exchanging.remove(location)
            if (location == holderLocation()) pacing.onEnded(timer.now() - sentAt)
            if (result is HttpCallResult.Answered) metrics.onExchangeBytes(sent = false, "answer", result.body.size)
            val report = PeerMessage.decode(result, IssuerReport.serializer())
            when {
                report == null -> {
                    streamOrigins.announceAgain()
                    onUnhelpful(location)
                    logger.debug("issuer={} event=exchange-failed result={}", location, result)
                }
                // A former issuer's late answer comes after those of its successor.
                report.issuing && sentAt < lastSentAt -> Unit
                report.issuing -> applyReport(report, sent, from, sentAt)
                report.informing -> applyNews(report, sentAt)
                else -> onPeerReport(report, location, sentAt)
            }
        }
    }

    private fun knowledgeOf(issuer: String): IssuerKnowledge =
        if (knowledgeIssuer == issuer) knowledge else IssuerKnowledge.NONE

    private fun applyReport(
        report: IssuerReport,
        sent: NodeReport,
        from: String,
        sentAt: Moment,
    ) {
        val now = timer.now()
        if (lastReportAt == null || isIssuerMissing()) {
            logger.info("event=issuer-heard issuer={} nodes={}", from, report.nodes)
        }
        if (nodes != report.nodes) {
            logger.info("event=nodes-counted issuer={} before={} now={}", from, nodes, report.nodes)
        }
        lastReportAt = now
        lastSentAt = sentAt
        lookUps.reset()
        nodes = report.nodes
        report.repetitionShare?.let { confirmShare(it, from, sentAt) }
        arrivals = report.arrivals
        arrivalsAt = now
        links.onPeerWork(report.work.mapKeys { UpstreamName(it.key) }, sentAt)
        links.onSuspicions(report.suspects.map { UpstreamName(it.key) to it.value.milliseconds }.toMap())
        notices.onPeerDepartures(report.departures.map { it.toInstanceRun() })
        notices.onPeerLimits(report.limits.associate { it.run to it.toStatement(now) })
        notices.onPeerBrittleness(report.brittleness.associate { it.run to it.toStatement(now) })
        issuerStoreAnsweredAt = if (report.issuing) report.storeAge?.let { now - it.milliseconds } else null
        onIssuerReport(report, sentAt)
        peers.add(report.peers)
        forwarder.onReachingPeers(report.reaching)
        quotas.onReport(sent.admitted, report, sentAt)
        if (report.known.session != knowledge.session) streamOrigins.announceAgain()
        streamOrigins.learn(report.streams)
        knowledge = if (report.issuing) report.known else IssuerKnowledge.NONE
        knowledgeIssuer = from
        links.prompts.merge(report.prompts)
        issuer.onReportedLoads(report.loadAges.map { now - it.milliseconds })
        if (report.issuing && from != SELF) learnOrders(report, from, now)
        if (report.issuing) fleet.onResidence(RelayedResidence.decode(report.residence), report.residenceWhole)
    }

    /** Takes over what a holder has read that must not issue orders yet, as its predecessor's may still take effect. */
    private fun applyNews(
        report: IssuerReport,
        sentAt: Moment,
    ) {
        lastNewsAt = timer.now()
        lookUps.reset()
        issuerStoreAnsweredAt = report.storeAge?.let { timer.now() - it.milliseconds }
        peers.add(report.peers)
        onIssuerReport(report, sentAt)
    }

    private fun learnOrders(
        report: IssuerReport,
        from: String,
        now: Moment,
    ) {
        issuer.onReportedOrders(report.known.session ?: from, report.unansweredOrders.map { it.toOrder(now) })
    }

    private fun confirmShare(
        fraction: Double,
        from: String,
        sentAt: Moment,
    ) {
        val now = timer.now()
        val before = share.fractionAt(now)
        if (fraction != before) {
            logger.info("event=repetition-share issuer={} before={} now={} nodes={}", from, before, fraction, nodes)
        }
        share.confirm(fraction, sentAt, now)
    }

    /** [silentHolder] is the lease's record if it may name a holder that died, null if the holder answered. */
    private fun lookUpIssuer(silentHolder: StoreLease.HolderRecord?) {
        if (lookUps.takeDue(silentHolder.takeUnless { lease.isFree }, timer.now())) lease.readHolder()
    }

    internal companion object {
        const val EXCHANGE_PATH = "/peer/exchange"
        const val ADAPTER_PATH = "/peer/adapter"
        private const val SELF = "self"

        /** With the issuer, and with another node when the issuer does not answer. */
        private const val MOST_EXCHANGES = 2
        private val ADAPTER_TIMEOUT = 400.milliseconds

        /** The timer calls [step] slightly early or late. */
        private val STEP_TOLERANCE = 20.milliseconds
    }
}
