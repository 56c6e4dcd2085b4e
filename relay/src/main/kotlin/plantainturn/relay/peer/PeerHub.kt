package plantainturn.relay.peer

import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.log.LogOffset
import plantainturn.connection.store.TopicFollower
import plantainturn.process.control.lease.StoreLease
import plantainturn.process.control.residence.ModelPressure
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.relay.request.AdapterDemand
import plantainturn.relay.residence.ResidenceIssuer
import plantainturn.request.relay.RepetitionShareAllocator
import plantainturn.request.relay.RepetitionShareTerms
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration.Companion.milliseconds

/**
 * Gathers the reports of all nodes at the issuer of orders, and tells each node the sum.
 *
 * @param identity names this run of the node
 */
internal class PeerHub(
    private val identity: String,
    private val issuer: ResidenceIssuer,
    private val lease: StoreLease,
    private val shareTerms: RepetitionShareTerms,
    private val timer: TimerService,
    private val instances: TopicFollower,
    private val breaks: TopicFollower,
) {
    private val heard = HashMap<String, Heard>()
    private val promptNews = PromptNews()
    private var residenceNews = ResidenceNews()
    private var session: String? = null
    private var sums = ReportSums(emptyMap())
    private var summedAt: Moment? = null
    private var sharesFence: FenceNumber? = null
    private var shares = RepetitionShareAllocator(shareTerms, Moment.ORIGIN)

    /** Takes in [report] and returns the answer to it. */
    fun exchange(report: NodeReport): IssuerReport {
        val now = timer.now()
        heard[report.node] = Heard(report, now)
        promptNews.add(report.prompts)
        if (summedAt?.let { now - it >= SUM_PERIOD } != false) sum(now)
        val known = report.known.takeIf { it.session == session } ?: IssuerKnowledge.NONE
        return IssuerReport(
            issuing = issuer.isActive,
            nodes = heard.size,
            repetitionShare = shareFor(report, now),
            work = sums.workWithout(report.node),
            suspects = sums.suspects,
            departures = sums.departures,
            known = IssuerKnowledge(session, residenceNews.revision, promptNews.end),
            residenceWhole = known.session == null,
            residence = residenceNews.since(known.residenceRevision),
            arrivals = issuer.arrivals().map { (model, left) -> model.value to left.inWholeMilliseconds }.toMap(),
            instances = instances.since(LogOffset(report.ends.instances))?.let(RelayedRecords::of),
            breaks = breaks.since(LogOffset(report.ends.breaks))?.let(RelayedRecords::of),
            storeAge = instances.heardAt?.let { (now - it).inWholeMilliseconds },
            loadAges = issuer.recentLoads().map { (now - it).inWholeMilliseconds },
            prompts = promptNews.since(known.prompts),
            ends = sums.ends?.latest(report.ends) ?: report.ends,
        )
    }

    private fun sum(now: Moment) {
        summedAt = now
        val silence = ExchangePace.memberSilence(heard.size)
        heard.values.removeIf { now - it.at > silence }
        val reports = heard.mapValues { it.value.report }
        sums = ReportSums(reports)
        tellIssuer(reports.values)
        val current = lease.fence?.let { "$identity/$it" }
        if (current != session) {
            session = current
            residenceNews = ResidenceNews()
        }
        residenceNews.update(issuer.residence())
    }

    /** Two nodes that answered at once could give the same part away, so that only a sole holder of the lease does. */
    private fun shareFor(
        report: NodeReport,
        now: Moment,
    ): Double? {
        val fence = lease.fence
        if (fence == null || !lease.isExclusive) return null
        if (fence != sharesFence) {
            sharesFence = fence
            val unsettled = if (lease.isFirstHolder) RepetitionShareAllocator.ABSENT_AFTER else shareTerms.reclaimAfter
            shares = RepetitionShareAllocator(shareTerms, now + unsettled)
        }
        return shares.renew(report.node, report.repetitionShare, report.sequence, now)
    }

    private fun tellIssuer(reports: Collection<NodeReport>) {
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

    private class Heard(
        val report: NodeReport,
        val at: Moment,
    )

    private companion object {
        /** Shorter than the time between two reports of a node. */
        val SUM_PERIOD = 100.milliseconds
    }
}
