package plantainturn.relay.peer

import plantainturn.connection.store.KeyedRecord
import plantainturn.connection.store.TopicFollower
import plantainturn.process.control.lease.StoreLease
import plantainturn.process.control.residence.ModelPressure
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.relay.node.ConfigurationFreshness
import plantainturn.relay.node.ConfigurationWatch
import plantainturn.relay.peer.RelayedRecords.RelayedRecord
import plantainturn.relay.request.AdapterDemand
import plantainturn.relay.request.InstanceNotices
import plantainturn.relay.residence.ResidenceIssuer
import plantainturn.request.relay.KeptPart
import plantainturn.request.relay.StreamOrigin
import plantainturn.request.relay.StreamOrigins
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration.Companion.milliseconds

/**
 * Collects the reports of all nodes at the issuer of orders, and returns their aggregate to each node.
 *
 * @param identity identifies this run of the node
 * @param isStoreSilent returns whether this node has to hear of instances from the nodes that report to it
 * @param listsNodes returns whether each node has to know which other nodes there are
 */
internal class PeerHub(
    private val identity: String,
    private val issuer: ResidenceIssuer,
    private val lease: StoreLease,
    private val notices: InstanceNotices,
    private val shares: ShareDesk,
    private val quotas: QuotaDesk,
    private val timer: TimerService,
    private val instances: TopicFollower,
    private val breaks: TopicFollower,
    private val configuration: ConfigurationWatch,
    private val freshness: ConfigurationFreshness,
    private val streamOrigins: StreamOrigins,
    private val isStoreSilent: () -> Boolean,
    private val listsNodes: () -> Boolean,
) : ReportedWork {
    private val received = HashMap<String, ReceivedReport>()
    private val promptAnnouncements = Announcements<KeptPart>(RETAINED_PARTS)
    private val streamAnnouncements = Announcements<StreamOrigin>(RETAINED_STREAMS)
    private var residenceChanges = KeyedChanges<UpstreamName, Map<ModelName, Set<ModelName>>>()
    private val nodeList = NodeList()
    private var session: String? = null
    private var aggregate = ReportAggregate(emptyMap())
    private var addresses: List<String> = emptyList()
    private var aggregatedAt: Moment? = null

    override fun runningAt(instance: UpstreamName): Int = aggregate.runningAt(instance.value)

    override fun reportedAt(node: String): Moment? = received[node]?.at

    /** Records [report] and returns the answer to it. */
    fun exchange(report: NodeReport): IssuerReport {
        val now = timer.now()
        takeOver(report, now)
        if (aggregatedAt?.let { now - it >= AGGREGATION_PERIOD } != false) updateAggregate(now)
        return answer(report, now)
    }

    private fun takeOver(
        report: NodeReport,
        now: Moment,
    ) {
        received[report.node] = ReceivedReport(report, now)
        promptAnnouncements.add(report.prompts)
        streamAnnouncements.add(report.streams)
        streamOrigins.learn(report.streams)
        freshness.onVersion(report.configurationVersion)
        report.configuration?.let { configuration.onPeerRecord(it.decode()) }
        report.instances?.let { instances.offer(it.decode(), it.steadyFor) }
        if (report.node != identity) {
            issuer.onReportedOrders(report.node, report.unansweredOrders.map { it.toOrder(now) })
        }
        notices.onPeerLimits(report.limits.associate { it.run to it.toStatement(now) })
        notices.onPeerBrittleness(report.brittleness.associate { it.run to it.toStatement(now) })
    }

    private fun answer(
        report: NodeReport,
        now: Moment,
    ): IssuerReport {
        val known = report.known.takeIf { it.session == session } ?: IssuerKnowledge.NONE
        val share = shares.shareFor(report)
        val usableShare = maxOf(share ?: 0.0, report.repetitionShare)
        val nodeChanges = if (listsNodes()) nodeList.since(known.nodesRevision) else null
        return IssuerReport(
            issuing = issuer.isActive,
            nodes = received.size,
            repetitionShare = share,
            work = aggregate.workOfOthers(report.node),
            suspects = aggregate.suspects,
            departures = aggregate.departures,
            limits = notices.limits().map { (run, statement) -> RelayedLimit.of(run, statement, now) },
            brittleness = notices.brittleness().map { (run, statement) -> RelayedLimit.of(run, statement, now) },
            known =
                IssuerKnowledge(
                    session,
                    residenceChanges.revision,
                    promptAnnouncements.totalAdded,
                    streamAnnouncements.totalAdded,
                    nodeChanges?.revision ?: known.nodesRevision,
                ),
            residenceWhole = known.session == null,
            residence = RelayedResidence.encode(residenceChanges.since(known.residenceRevision)),
            arrivals = issuer.arrivals().map { (model, wait) -> model.value to wait.inWholeMilliseconds }.toMap(),
            instances = instancesFor(report),
            breaks = breaks.since(report.ends.breaks)?.let(RelayedRecords::of),
            storeAge = instances.heardAt?.let { (now - it).inWholeMilliseconds },
            loadAges = issuer.recentLoads().map { (now - it).inWholeMilliseconds },
            prompts = promptAnnouncements.since(known.prompts),
            streams = streamAnnouncements.since(known.streams, ExchangeTiming.streamsPerReport(received.size)),
            configurationVersion = configuration.versionNumber,
            configuration = configurationFor(report)?.let(RelayedRecord::of),
            ends = aggregate.ends?.latest(report.ends) ?: report.ends,
            unansweredOrders = issuer.unansweredOrders().map { RelayedOrder.of(it, now) },
            configurationWanted =
                report.configurationVersion > configuration.versionNumber && freshness.takeRequest(),
            configurationAge = freshness.storeAge?.inWholeMilliseconds,
            latestConfigurationVersion = freshness.latestVersion,
            holder = holder(),
            peers = KnownPeers.forReport(addresses, report.sequence),
            boundAccounts = quotas.report(report.node, report.address, usableShare, report.admitted),
            informing = lease.isExclusive,
            reaching = if (report.cutOff.isEmpty()) emptyList() else ReachingNodes.of(report, reports()),
            instancesWantedFrom = instances.end.takeIf { isStoreSilent() },
            nodeRuns = nodeChanges?.runs.orEmpty(),
            nodeRunsFirst = nodeChanges?.isFirst ?: false,
        )
    }

    private fun reports(): List<NodeReport> = received.values.map { it.report }

    private fun instancesFor(report: NodeReport): RelayedRecords? =
        instances.since(report.ends.instances)?.let { since ->
            RelayedRecords.of(since, instances.steadyFor.takeIf { report.storeSilent })
        }

    /** A holder that lost the lease and can't read the store does not know its successor. */
    private fun holder(): String? = lease.holderRecord?.takeIf { lease.fence != null || it.holder != identity }?.address

    private fun configurationFor(report: NodeReport): KeyedRecord? =
        if (report.configurationWanted) {
            configuration.recordAfter(report.configurationVersion)
        } else {
            configuration.lostRecordAfter(report.configurationVersion)
        }

    private fun updateAggregate(now: Moment) {
        aggregatedAt = now
        val timeout = ExchangeTiming.nodeTimeout(received.size)
        received.values.removeIf { now - it.at > timeout }
        val reports = received.mapValues { it.value.report }
        aggregate = ReportAggregate(reports, received.mapValues { (now - it.value.at).inWholeMilliseconds })
        addresses = reports.values.map { it.address }.filter { it.isNotEmpty() }
        updateIssuerDemand(reports.values)
        val current = lease.fence?.let { "$identity/$it" }
        if (current != session) {
            session = current
            residenceChanges = KeyedChanges()
            nodeList.begin()
        }
        residenceChanges.update(issuer.residence())
        if (listsNodes()) nodeList.update(received.values.sortedBy { it.at }.map { it.report })
    }

    private fun updateIssuerDemand(reports: Collection<NodeReport>) {
        val pressure = HashMap<ModelName, ModelPressure>()
        val use = HashMap<Pair<ModelName, ModelName>, AdapterDemand>()
        val runs = HashMap<Pair<UpstreamName, ModelName>, Int>()
        for (report in reports) {
            for ((name, part) in report.pressure) {
                val before = pressure[ModelName(name)] ?: ModelPressure()
                pressure[ModelName(name)] =
                    ModelPressure(
                        before.worthPerSecond + part.worthPerSecond,
                        before.engineSharesWanted + part.engineSharesWanted,
                        before.waiting + part.waiting,
                        before.adapterWorthPerSecond + part.adapterWorthPerSecond,
                    )
            }
            for (part in report.adapterUse) {
                val demand = AdapterDemand(part.use, part.running)
                use.merge(ModelName(part.model) to ModelName(part.adapter), demand, AdapterDemand::plus)
            }
            for ((engine, models) in report.departingRuns) {
                for ((model, count) in models) runs.merge(UpstreamName(engine) to ModelName(model), count, Int::plus)
            }
        }
        issuer.onDemand(pressure, use, runs)
    }

    private class ReceivedReport(
        val report: NodeReport,
        val at: Moment,
    )

    private companion object {
        /** Covers several seconds of a busy deployment. */
        const val RETAINED_PARTS = 512
        const val RETAINED_STREAMS = 512

        /** Shorter than the interval between two reports of a node. */
        val AGGREGATION_PERIOD = 100.milliseconds
    }
}
