package plantainturn.relay.node

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.apache.logging.log4j.LogManager
import plantainturn.connection.http.HeldBytes
import plantainturn.connection.roster.InstanceRoster
import plantainturn.connection.roster.InstanceRun
import plantainturn.connection.roster.RequestLimitTracker
import plantainturn.connection.roster.RetryAfterTracker
import plantainturn.connection.roster.RosterTimes
import plantainturn.connection.roster.SocketLocation
import plantainturn.connection.roster.VersionHistory
import plantainturn.connection.store.CountedRecordStore
import plantainturn.connection.store.KeyedRecord
import plantainturn.connection.store.ReadPace
import plantainturn.connection.store.RecordStore
import plantainturn.connection.store.TopicFollower
import plantainturn.process.control.lease.HolderIdentifier
import plantainturn.process.control.lease.IssuerFitness
import plantainturn.process.control.lease.StoreLease
import plantainturn.process.control.lease.StoreLeaseSettings
import plantainturn.process.time.ExecutorTimerService
import plantainturn.process.time.Moment
import plantainturn.relay.http.CallerServer
import plantainturn.relay.http.HttpClient
import plantainturn.relay.http.InternalHttpResponse
import plantainturn.relay.http.InternalHttpServer
import plantainturn.relay.loop.LoopDelay
import plantainturn.relay.loop.LoopPolls
import plantainturn.relay.loop.LoopTask
import plantainturn.relay.peer.ExchangeTiming
import plantainturn.relay.peer.IssuerKnowledge
import plantainturn.relay.peer.IssuerLink
import plantainturn.relay.peer.IssuerReport
import plantainturn.relay.peer.KnownPeers
import plantainturn.relay.peer.NodeReport
import plantainturn.relay.peer.PeerEndpoint
import plantainturn.relay.peer.PeerForwarder
import plantainturn.relay.peer.PeerHub
import plantainturn.relay.peer.PermitClient
import plantainturn.relay.peer.PermitDesk
import plantainturn.relay.peer.QuotaClient
import plantainturn.relay.peer.QuotaDesk
import plantainturn.relay.peer.QuotaMetrics
import plantainturn.relay.peer.RelayedDeparture
import plantainturn.relay.peer.RelayedLimit
import plantainturn.relay.peer.RelayedOrder
import plantainturn.relay.peer.RelayedRecords
import plantainturn.relay.peer.ShareDesk
import plantainturn.relay.peer.StreamOriginLink
import plantainturn.relay.peer.TopicEnds
import plantainturn.relay.request.AccountCheck
import plantainturn.relay.request.CrashTracker
import plantainturn.relay.request.DemandMeter
import plantainturn.relay.request.FleetView
import plantainturn.relay.request.ForwardTerms
import plantainturn.relay.request.InstanceLinks
import plantainturn.relay.request.InstanceNotices
import plantainturn.relay.request.PeerAccess
import plantainturn.relay.request.RelayContext
import plantainturn.relay.request.RelayHandler
import plantainturn.relay.request.RelayMetrics
import plantainturn.relay.request.SendPermits
import plantainturn.relay.request.StreamVersions
import plantainturn.relay.request.UpstreamReach
import plantainturn.relay.request.WaitingRequests
import plantainturn.relay.residence.ResidenceIssuer
import plantainturn.request.quarantine.CrashAttribution
import plantainturn.request.quota.NodeQuotas
import plantainturn.request.quota.QuotaTerms
import plantainturn.request.relay.EngineTimeEstimator
import plantainturn.request.relay.NodeShare
import plantainturn.request.relay.NodeShareTerms
import plantainturn.request.relay.OriginKeepers
import plantainturn.request.relay.OriginReplication
import plantainturn.request.relay.ReachState
import plantainturn.request.relay.RepetitionBudget
import plantainturn.request.relay.RepetitionSettings
import plantainturn.request.relay.StreamOrigins
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.ServiceName
import java.io.ByteArrayOutputStream
import java.nio.channels.spi.SelectorProvider
import java.util.Collections
import java.util.UUID
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A node that routes callers' requests to the services of a platform.
 *
 * Everything runs on one event loop, so that the state of requests, upstreams and periodic tasks needs no locks.
 *
 * @param connect creates the platform's adapter from the event loop, the node's HTTP client and the store's address
 */
public class RelayNode(
    private var settings: RelaySettings,
    connect: (EventLoop, HttpClient, SocketLocation) -> PlatformConnection,
) : AutoCloseable {
    private val logger = LogManager.getLogger(RelayNode::class.java)
    private val polls = LoopPolls()
    private val eventLoopGroup =
        MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory(SelectorProvider.provider(), polls))
    private val eventLoop = eventLoopGroup.next() as EventLoop
    private val timer = ExecutorTimerService(eventLoop)
    private val incarnation = "${settings.node}/${UUID.randomUUID()}"
    private val heldBytes = HeldBytes()
    private val caller = HttpClient(eventLoop, timer, heldBytes)
    private val platform = connect(eventLoop, caller, location(settings.store))
    private val registry = PrometheusRegistry()
    private val metrics: RelayMetrics =
        RelayMetrics(registry).apply {
            gaugeUnansweredOrders { issuer.unansweredOrders().size }
            gaugePaces { links.paces() }
            gaugeWaiting { waiting.byAccount }
            gaugeHeldBytes(heldBytes)
            gaugeCutOff { reach.cutOff.size }
        }
    private val work = metrics.work
    private val loopDelay = LoopDelay(timer, work, metrics::onLoopDelay)
    private val store: RecordStore = CountedRecordStore(platform.store, metrics::onStoreCall)
    private val rosterTimes = RosterTimes(settings.drainMilliseconds.milliseconds)
    private val readPaces = StoreReadPaces(rosterTimes)
    private val roster = InstanceRoster(rosterTimes.lapseGrace)
    private val fleet = FleetView(roster, timer)
    private val limits = RequestLimitTracker()
    private val notices = InstanceNotices(roster, RetryAfterTracker(), limits, timer, ::onDeparture)
    private val permits =
        SendPermits(
            limits,
            timer,
            notices::isBrittle,
        ) { run, request, done -> permitClient.request(run, request, done) }
    private val reach: UpstreamReach = UpstreamReach(timer, fleet::instancesOf, { links }, ::onReachChanged)
    private val links: InstanceLinks =
        InstanceLinks(
            eventLoop,
            timer,
            FailureDomain(settings.failureDomain),
            notices,
            permits,
            reach,
            heldBytes,
            platform.dialect::notice,
        )
    private val configuration = ConfigurationWatch(platform.records, ::onConfiguration)
    private val freshness: ConfigurationFreshness =
        ConfigurationFreshness(timer, { configurationFollower.currentAt }, configuration::versionNumber) {
            configurationFollower.end.era
        }
    private val instances = InstanceWatch(platform.records, roster, timer, ::onRoster, ::onStoreAnswers)
    private val lease =
        StoreLease(
            store,
            HolderIdentifier(incarnation),
            settings.advertisedPeers ?: settings.peers,
            timer,
            System::currentTimeMillis,
            StoreLeaseSettings(
                handOverPause = settings.handOverMilliseconds.milliseconds,
                outageTolerance = if (settings.enginesRefuseOldFences) OUTAGE_TOLERANCE else Duration.ZERO,
            ),
        )
    private val issuer =
        ResidenceIssuer(
            lease,
            incarnation,
            roster,
            configuration,
            platform.engines,
            timer,
            settings.loadWindowSeconds.seconds,
            notices,
        )
    private val attribution = CrashAttribution(timer, CrashEvidenceTopic.SETTINGS)
    private val crashEvidence: CrashEvidenceTopic =
        CrashEvidenceTopic(
            store,
            attribution,
            timer,
            Random.Default,
            { crashEvidenceFollower.end },
            { issuerLink.nodes },
            System::currentTimeMillis,
        )
    private val demand = DemandMeter(timer)
    private val versionHistory = VersionHistory(timer)
    private val streamOrigins = StreamOrigins(timer)
    private val versionRecords =
        VersionRecords(store, versionHistory, timer, System::currentTimeMillis) { lease.isExclusive }
    private val streamOriginLink: StreamOriginLink =
        StreamOriginLink(
            streamOrigins,
            lease,
            caller,
            timer,
            { issuerLink.isIssuerMissing() },
        ) { stopping }
    private val knownPeers = KnownPeers(settings.advertisedPeers ?: settings.peers)
    private val originKeepers =
        OriginKeepers(settings.advertisedPeers ?: settings.peers, timer) { knownPeers.all().map { "$it" } }
    private val originReplication =
        OriginReplication(streamOrigins, originKeepers, streamOriginLink, timer, { streamLifetime }) {
            versionHistory.mixedServices(streamLifetime)
        }
    private val streamVersions =
        StreamVersions(
            streamOrigins,
            originReplication,
            versionHistory,
            timer,
            { streamLifetime },
            ::isInstanceViewCurrent,
            System::currentTimeMillis,
        )
    private var streamLifetime = MINIMUM_STREAM_LIFETIME
    private val waiting = WaitingRequests()
    private val configurationFollower =
        TopicFollower(
            store,
            platform.configurationTopic,
            configuration,
            timer,
            // The records hold access keys; peers receive the one that ConfigurationWatch keeps, without them.
            retained = 0,
            pace = ::configurationReadPace,
        )
    private val instanceFollower =
        TopicFollower(
            store,
            platform.instanceTopic,
            instances,
            timer,
            rosterTimes.readPause / 2,
            pace = ::instanceReadPace,
        )
    private val crashEvidenceFollower: TopicFollower =
        TopicFollower(store, CrashEvidenceTopic.NAME, crashEvidence, timer, pace = ::crashEvidenceReadPace)
    private val shareTerms = NodeShareTerms(settings.repetitionWindowSeconds.seconds)
    private val share = NodeShare(shareTerms)
    private val shareDesk = ShareDesk(lease, shareTerms, timer)
    private val quotaDesk =
        QuotaDesk(lease, configuration, quotaTerms(), timer) { issuerLink.nodes }
    private val quotaClient: QuotaClient =
        QuotaClient(
            incarnation,
            lease,
            quotaDesk,
            NodeQuotas(Random.Default) { share.fractionAt(it, NodeQuotas.SHARE_TERM) },
            configuration,
            caller,
            timer,
            QuotaMetrics(registry).apply { gaugeLevels { quotaDesk.levels } },
            { issuerLink.holderLocation() },
        ) { issuerLink.isIssuerMissing() }
    private val hub =
        PeerHub(
            incarnation,
            issuer,
            lease,
            notices,
            shareDesk,
            quotaDesk,
            timer,
            instanceFollower,
            crashEvidenceFollower,
            configuration,
            freshness,
            streamOrigins,
            ::isStoreSilent,
        ) { versionHistory.mixedServices(streamLifetime).isNotEmpty() }
    private val permitDesk = PermitDesk(lease, notices, timer, hub) { issuerLink.nodes }
    private val permitClient: PermitClient =
        PermitClient(incarnation, lease, permitDesk, limits, caller, timer) { issuerLink.isIssuerMissing() }
    private val forwarder = PeerForwarder(eventLoop, timer, heldBytes, knownPeers)
    private val issuerLink: IssuerLink =
        IssuerLink(
            lease,
            issuer,
            hub,
            caller,
            timer,
            fleet,
            links,
            notices,
            share,
            streamOrigins,
            knownPeers,
            forwarder,
            quotaClient,
            metrics,
            ::createReport,
            ::onIssuerReport,
        )
    private val crashes = CrashTracker(attribution, crashEvidence, timer, links, System::currentTimeMillis)
    private val timeEstimator = EngineTimeEstimator()
    private val repetitionBudget = RepetitionBudget(repetitions(), share::fractionAt)
    private val handler = RelayHandler(context())
    private val callerServer = CallerServer(eventLoop, timer, configuration, handler, heldBytes, polls)
    private val peerServer = InternalHttpServer(eventLoop, timer, heldBytes, polls)
    private val readinessServer = InternalHttpServer(eventLoop, timer, heldBytes)
    private val startedAt: Moment = timer.now()
    private var stopping = false
    private var reportCount = 0L
    private var claimableSince: Moment? = null
    private var lastIssuerReport: IssuerReport? = null

    /** Starts to listen and to follow the store. Returns once all ports are bound or have failed, with the failures. */
    public fun start(): List<Throwable> {
        val faults = Collections.synchronizedList(ArrayList<Throwable>())
        val listening = CountDownLatch(LISTENERS)
        val done = { fault: Throwable? ->
            if (fault != null) faults += fault
            listening.countDown()
        }
        eventLoop.execute {
            logger.info("event=start node={} incarnation={}", settings.node, incarnation)
            registerEndpoints()
            readinessServer.listen(location(settings.readiness), done)
            callerServer.listen(location(settings.callers), done)
            peerServer.listen(location(settings.peers), done)
            configurationFollower.start()
            instanceFollower.start()
            crashEvidenceFollower.start()
            versionRecords.start()
            startTasks()
        }
        listening.await()
        return faults
    }

    /** Applies those of the [changed] settings that a running node can: the repetition limits and the time to stop. */
    public fun reload(changed: RelaySettings) {
        eventLoop.execute {
            val reloadable =
                changed.copy(
                    stopSeconds = settings.stopSeconds,
                    repetitionRatio = settings.repetitionRatio,
                    repetitionsFixed = settings.repetitionsFixed,
                    repetitionWindowSeconds = settings.repetitionWindowSeconds,
                )
            if (reloadable != settings) logger.warn("event=reload-partial reason=\"other settings need a restart\"")
            settings = changed
            repetitionBudget.settings = repetitions()
            logger.info("event=reload settings={}", changed)
        }
    }

    /**
     * Stops gracefully: the node is no longer ready, then the requests in progress end. Returns once all have ended or
     * the time to stop has elapsed.
     */
    public fun stop() {
        val stopped = CountDownLatch(1)
        eventLoop.execute {
            stopping = true
            logger.info("event=stop inProgress={}", handler.inProgress)
            lease.release()
            val stopStartedAt = timer.now()
            timer.schedule(BALANCER_REMOVAL_DELAY) { callerServer.drainConnections() }
            timer.schedule(STOP_ACCEPTING_DELAY) {
                handler.stopAccepting()
                waiting.stop()
                callerServer.stopListening()
            }
            timer.subscribe(STOP_CHECK_PERIOD) {
                val elapsed = timer.now() - stopStartedAt
                // While the store is unavailable, no other node can become the issuer, so this node runs on
                // for as long as it may.
                val isIssuer = lease.permitsOrders()
                val drained = handler.inProgress == 0 && callerServer.openConnections == 0 && !isIssuer
                val timedOut = elapsed > settings.stopSeconds.seconds - STOP_MARGIN
                if (timedOut) handler.endAll()
                val answered = elapsed > settings.stopSeconds.seconds - LAST_ANSWER_MARGIN
                if (elapsed > STOP_ACCEPTING_DELAY && drained || answered) stopped.countDown()
            }
        }
        stopped.await()
        logger.info("event=stopped inProgress={} connections={}", handler.inProgress, callerServer.openConnections)
    }

    /** Terminates immediately, as if the process were killed. */
    override fun close() {
        if (!eventLoopGroup.isShuttingDown) {
            val stopListening =
                Runnable {
                    callerServer.stopListening()
                    peerServer.stopListening()
                    readinessServer.stopListening()
                }
            eventLoop.submit(stopListening).await()
        }
        eventLoopGroup.shutdownGracefully(QUIET_MILLISECONDS, CLOSE_MILLISECONDS, TimeUnit.MILLISECONDS).await()
    }

    private fun startTasks() {
        timer.subscribe(CONTROL_PERIOD) { loopDelay.measure(CONTROL_PERIOD, ::control) }
        timer.subscribe(EXCHANGE_PERIOD) {
            if (!stopping ||
                lease.fence == null
            ) {
                work.measure(LoopTask.REPORT) { issuerLink.step() }
            }
        }
        timer.subscribe(RETRY_PERIOD) {
            reach.step()
            retryWaiting()
        }
        timer.subscribe(rosterTimes.sweepPeriod) { instances.expire() }
        timer.subscribe(VERSION_PERIOD) { versionRecords.step() }
        timer.subscribe(EXCHANGE_PERIOD) { originReplication.step() }
        timer.subscribe(CrashEvidenceTopic.SWEEP_PERIOD) { if (lease.isExclusive) crashEvidence.dropExpired() }
        fleet.subscribe {
            links.prompts.retain { engine, model -> model in fleet.residentsOf(engine) }
            retryWaiting()
        }
    }

    private fun control() {
        val ready = !stopping && configuration.current != null
        if (isCutOffFromEngines()) lease.handOver()
        lease.step(mayContend = ready && mayContend())
        work.measure(LoopTask.ISSUE) { issuer.step() }
    }

    private fun retryWaiting(): Unit = work.measure(LoopTask.RETRY) { waiting.retryAll() }

    private fun onReachChanged(
        service: ServiceName,
        isCutOff: Boolean,
    ) {
        links.onReachChanged(service, isCutOff)
        if (isCutOff) handler.onCutOff(service)
    }

    /** Another node, which reaches engines, can order them. */
    private fun isCutOffFromEngines(): Boolean =
        reach.cutOff.any {
            reach.stateOf(it) == ReachState.CUT_OFF &&
                configuration.current
                    ?.services
                    ?.get(it)
                    ?.engines != null
        }

    /** Returns whether this node may contend for the lease; VMs with ample resources for the issuer's work go first. */
    private fun mayContend(): Boolean {
        if (isCutOffFromEngines()) return false
        val claimable = !issuerLink.isInformed() || lease.isFree
        if (!claimable) claimableSince = null
        val since = if (claimable) claimableSince ?: timer.now().also { claimableSince = it } else return false
        return timer.now() - since >= IssuerFitness.claimDelay(settings.processorShare, settings.linkMegabits)
    }

    /**
     * The issuer need not hear the store itself to hint at later configurations that others have read. It can't confirm
     * one then; a node that hears the store does that for itself.
     */
    private fun configurationReadPace(): ReadPace =
        readPaces.configuration(
            when {
                lease.fence != null -> StoreReader.ISSUER
                issuerLink.isInformed() && !isConfirmationLate() -> StoreReader.INFORMED
                else -> StoreReader.ALONE
            },
        )

    private fun isConfirmationLate(): Boolean =
        freshness.isPeerLate(ExchangeTiming.period(issuerLink.nodes) * PERIODS_TO_CONFIRM)

    private fun instanceReadPace(): ReadPace = readPaces.instances(storeReader(), issuerLink.nodes)

    private fun crashEvidenceReadPace(): ReadPace = readPaces.crashEvidence(storeReader())

    private fun storeReader(): StoreReader {
        if (lease.fence != null) return StoreReader.ISSUER
        val age = issuerLink.issuerStoreAge()
        return if (age != null && age < rosterTimes.peerReadTimeout) StoreReader.INFORMED else StoreReader.ALONE
    }

    /** Whether neither the store nor an issuer that it answers has told this node of instances for some time. */
    private fun isStoreSilent(): Boolean {
        if (storeReader() == StoreReader.INFORMED) return false
        val heardAt = instanceFollower.heardAt ?: return false
        return timer.now() - heardAt >= rosterTimes.peerReadTimeout
    }

    /** Records that the last answer asked for, as the store refuses the node that gave it and not this one. */
    private fun instancesForIssuer(): RelayedRecords? {
        val from = lastIssuerReport?.instancesWantedFrom ?: return null
        val steadyFor = instanceFollower.steadyFor ?: return null
        val since = instanceFollower.since(from)?.atMost(RECORDS_PER_REPORT, RECORD_BYTES_PER_REPORT) ?: return null
        return RelayedRecords.of(since, steadyFor)
    }

    private fun onIssuerReport(
        report: IssuerReport,
        sentAt: Moment,
    ) {
        lastIssuerReport = report
        freshness.onVersion(maxOf(report.configurationVersion, report.latestConfigurationVersion))
        report.configuration?.let { configuration.onPeerRecord(it.decode()) }
        report.configurationAge?.let { freshness.onConfirmed(report.configurationVersion, sentAt - it.milliseconds) }
        report.instances?.let {
            work.measure(LoopTask.INSTANCES) { instanceFollower.offer(it.decode(), it.steadyFor) }
        }
        report.breaks?.let { work.measure(LoopTask.EVIDENCE) { crashEvidenceFollower.offer(it.decode()) } }
        if (report.issuing) originKeepers.onNodes(report.nodeRuns, report.nodeRunsFirst)
        configurationFollower.catchUp(report.ends.configuration)
        instanceFollower.catchUp(report.ends.instances)
        crashEvidenceFollower.catchUp(report.ends.breaks)
    }

    /** Whether no other node can know instances that this one does not, other than for a moment. */
    private fun isInstanceViewCurrent(): Boolean {
        val heard = instanceFollower.heardAt?.let { timer.now() - it < MAXIMUM_VIEW_AGE } ?: false
        return versionRecords.isLoaded && (heard || lease.fence != null || !issuerLink.isIssuerMissing())
    }

    private fun onConfiguration() {
        val longest =
            configuration.current
                ?.table
                ?.routes
                ?.maxOfOrNull { it.timeout } ?: Duration.ZERO
        streamLifetime = maxOf(longest, MINIMUM_STREAM_LIFETIME)
        handler.onConfiguration()
        retryWaiting()
    }

    private fun onRoster() {
        links.retain(roster.instances)
        versionHistory.onInstances(roster.instances.values)
        streamOrigins.onInstances(roster.instances.values)
        fleet.onRosterChange()
    }

    private fun onStoreAnswers() {
        lease.onStoreAnswers()
        configurationFollower.onStoreAnswers()
        crashEvidenceFollower.onStoreAnswers()
    }

    private fun onDeparture(run: InstanceRun) {
        links.drain(run)
        fleet.onRosterChange()
    }

    private fun context(): RelayContext =
        RelayContext(
            timer = timer,
            routing = configuration,
            dialect = platform.dialect,
            fleet = fleet,
            links = links,
            peers = PeerAccess(issuerLink, quotaClient, forwarder),
            streamVersions = streamVersions,
            timeEstimator = timeEstimator,
            repetitionBudget = repetitionBudget,
            crashes = crashes,
            demand = demand,
            waiting = waiting,
            accounts =
                AccountCheck(
                    freshness,
                    strictAfter = settings.revocationMilliseconds.milliseconds.takeIf { settings.strictRevocation },
                ),
            metrics = metrics,
            random = Random.Default,
        )

    private fun repetitions() =
        RepetitionSettings(
            settings.repetitionRatio,
            settings.repetitionsFixed,
            settings.repetitionWindowSeconds.seconds,
        )

    private fun quotaTerms() =
        QuotaTerms(settings.quotaWindowSeconds.seconds, settings.quotaOverage, settings.quotaTolerance)

    private fun createReport(known: IssuerKnowledge): NodeReport =
        NodeReport(
            node = incarnation,
            sequence = reportCount++,
            repetitionShare = share.maximumWithinWindow(timer.now()),
            work = links.ownTotals().mapKeys { it.key.value },
            suspects = links.suspicions().map { it.key.value to it.value.inWholeMilliseconds }.toMap(),
            pressure =
                demand
                    .pressure(waiting.byModel())
                    .map { (model, part) ->
                        model.value to
                            NodeReport.PressureReport(
                                round(part.worthPerSecond),
                                round(part.engineSharesWanted),
                                part.waiting,
                                round(part.adapterWorthPerSecond),
                            )
                    }.toMap(),
            adapterUse =
                demand.adapterUse().map { (adapter, use) ->
                    val (model, name) = adapter
                    NodeReport.AdapterUse(model.value, name.value, round(use.worthPerSecond), use.running)
                },
            departingRuns =
                links
                    .ownRuns { engine, model -> model !in fleet.residentsOf(engine) }
                    .entries
                    .groupBy({ it.key.first.value }, { it.key.second.value to it.value })
                    .mapValues { it.value.toMap() },
            known = known,
            brittleness =
                notices.brittleness().map { (run, statement) ->
                    RelayedLimit.of(run, statement, timer.now())
                },
            departures = roster.departures().map(RelayedDeparture::of),
            limits = notices.limits().map { (run, statement) -> RelayedLimit.of(run, statement, timer.now()) },
            prompts = links.prompts.takeUnannounced(),
            streams =
                streamOrigins.takeUnannounced(STREAMS_PER_REPORT, streamLifetime) {
                    versionHistory.isMixed(it, streamLifetime)
                },
            configurationVersion = configuration.versionNumber,
            configuration = configurationForIssuer()?.let(RelayedRecords.RelayedRecord::of),
            configurationWanted = lease.fence == null && freshness.takeRequest(),
            address = settings.advertisedPeers ?: settings.peers,
            ends =
                TopicEnds(configurationFollower.end, instanceFollower.end, crashEvidenceFollower.end),
            unansweredOrders = unansweredOrders(except = known.session),
            admitted = quotaClient.createReport(whole = known.session == null),
            instances = instancesForIssuer(),
            storeSilent = isStoreSilent(),
            cutOff = reach.cutOff.map { it.value },
            domain = settings.failureDomain,
        )

    private fun configurationForIssuer(): KeyedRecord? {
        val issuer = lastIssuerReport ?: return null
        return if (issuer.configurationWanted) {
            configuration.recordAfter(issuer.configurationVersion)
        } else {
            configuration.lostRecordAfter(issuer.configurationVersion)
        }
    }

    private fun unansweredOrders(except: String? = null): List<RelayedOrder> =
        issuer.unansweredOrders(except).map { RelayedOrder.of(it, timer.now()) }

    /** Rounds, since traffic between failure domains is billed and further digits do not affect any decision. */
    private fun round(value: Double): Double = Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR

    private fun registerEndpoints() {
        PeerEndpoint(hub, issuer, permitDesk, streamOriginLink, quotaDesk, metrics, work).registerOn(peerServer)
        peerServer.onMarked(ForwardTerms.HEADER, handler.forwarded)
        readinessServer.on(
            platform.readinessCall,
        ) { _, done -> done(InternalHttpResponse(if (isReady()) OK else UNAVAILABLE)) }
        peerServer.on("GET /metrics") { _, done ->
            val text = ByteArrayOutputStream()
            PrometheusTextFormatWriter.builder().build().write(text, registry.scrape())
            done(InternalHttpResponse(OK, text.toByteArray(), "text/plain; version=0.0.4"))
        }
        peerServer.on("GET /dump") { _, done -> done(InternalHttpResponse(OK, dump().toByteArray())) }
    }

    private fun isReady(): Boolean = !stopping && configuration.current != null && instances.isLoaded

    private fun dump(): String =
        RelayDump
            .of(
                node = incarnation,
                configuration = configuration.current,
                roster = roster,
                fleet = fleet,
                links = links,
                notices = notices,
                lease = lease,
                uptime = timer.now() - startedAt,
                inProgress = handler.inProgress,
                waiting = waiting.size,
                nodes = issuerLink.nodes,
                repetitionShare = share.fractionAt(timer.now()),
                attribution = attribution,
                storeEra = maxOf(configurationFollower.end, instanceFollower.end).era,
                unansweredOrders = unansweredOrders(),
                accounts = RelayDump.accountsOf(quotaDesk.levels, quotaClient.admitted),
                streamOrigins = streamOrigins,
                originKeepers = originKeepers,
                heldBytes = heldBytes,
                longestLoopDelay = loopDelay.longest,
            ).toJson()

    private companion object {
        const val LISTENERS = 3
        const val OK = 200
        const val UNAVAILABLE = 503
        const val ROUNDING_FACTOR = 1_000.0

        /**
         * With a shorter quiet period, Netty may leave all sockets open, the listening ones too, if the shutdown begins
         * while the event loop is running tasks. With 1 ms that was seen on a loaded machine.
         */
        const val QUIET_MILLISECONDS = 50L
        const val CLOSE_MILLISECONDS = 1_000L

        /** Streams of removed routes may outlive the longest present timeout. */
        val MINIMUM_STREAM_LIFETIME = 15.seconds

        /** Several times the pause between readings of a node that reads by itself. */
        val MAXIMUM_VIEW_AGE = 3.seconds

        /** An issuer that is slow to answer confirms late, and further reads would not help it. */
        const val PERIODS_TO_CONFIRM = 4
        val VERSION_PERIOD = 100.milliseconds

        /** Several times the streams that begin at a node between two reports. */
        const val STREAMS_PER_REPORT = 64

        /** Bound what each node sends to an issuer that the store refuses; what is left out follows the next answer. */
        const val RECORDS_PER_REPORT = 32
        const val RECORD_BYTES_PER_REPORT = 32_768

        /** Longer than usual outages of the store. */
        val OUTAGE_TOLERANCE = 12.seconds
        val CONTROL_PERIOD = 50.milliseconds
        val EXCHANGE_PERIOD = 200.milliseconds
        val RETRY_PERIOD = 100.milliseconds

        /** The load balancer probes every second and removes a node after two failed probes. */
        val BALANCER_REMOVAL_DELAY = 2_300.milliseconds

        /** Callers still arrive briefly if the balancer finds no other node; requests after this could be cut off. */
        val STOP_ACCEPTING_DELAY = 2_800.milliseconds
        val STOP_CHECK_PERIOD = 50.milliseconds
        val STOP_MARGIN = 300.milliseconds

        /** After the last answers have been written. */
        val LAST_ANSWER_MARGIN = 150.milliseconds

        fun location(text: String): SocketLocation =
            requireNotNull(SocketLocation.parse(text)) { "the settings were not validated, invalid address: $text" }
    }
}
