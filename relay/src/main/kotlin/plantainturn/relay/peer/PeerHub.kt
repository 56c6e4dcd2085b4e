package plantainturn.relay.peer

import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.log.LogOffset
import plantainturn.connection.store.TopicFollower
import plantainturn.process.control.lease.StoreLease
import plantainturn.process.control.residence.ModelPressure
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.relay.residence.ResidenceIssuer
import plantainturn.request.quarantine.QuarantineRegister
import plantainturn.request.relay.RepetitionShareTerms
import plantainturn.request.relay.RepetitionShares
import plantainturn.request.relay.WorkTotals
import plantainturn.version.configuration.ModelName
import kotlin.time.Duration.Companion.milliseconds

/** Gathers the reports of all nodes at the issuer of orders, and tells each node the sum. */
internal class PeerHub(
    private val issuer: ResidenceIssuer,
    private val lease: StoreLease,
    private val shareTerms: RepetitionShareTerms,
    private val quarantine: QuarantineRegister,
    private val timer: TimerService,
    private val instances: TopicFollower,
) {
    private val heard = HashMap<String, Heard>()
    private val promptNews = PromptNews()
    private var sharesFence: FenceNumber? = null
    private var shares = RepetitionShares(shareTerms, Moment.ORIGIN)

    /** Takes in [report] and returns the answer to it. */
    fun exchange(report: NodeReport): IssuerReport {
        val now = timer.now()
        heard[report.node] = Heard(report, now)
        heard.values.removeIf { now - it.at > MEMBER_SILENCE }
        quarantine.merge(report.quarantines)
        promptNews.add(report.prompts)
        tellIssuer()
        val others = heard.values.map { it.report }.filter { it.node != report.node }
        val residence = issuer.residence().takeIf { issuer.revision != report.known.residenceRevision }
        return IssuerReport(
            issuing = issuer.isActive,
            nodes = heard.size,
            repetitionShare = shareFor(report, now),
            work = sum(others),
            suspects = suspects(others),
            departures =
                heard.values
                    .flatMap { it.report.departures }
                    .distinct(),
            known = IssuerKnowledge(issuer.revision, promptNews.end),
            residence =
                residence
                    ?.map { (engine, models) ->
                        engine.value to
                            models.map { (model, adapters) -> model.value to adapters.map { it.value } }.toMap()
                    }?.toMap(),
            arrivals = issuer.arrivals().map { (model, left) -> model.value to left.inWholeMilliseconds }.toMap(),
            instances = instances.since(LogOffset(report.ends.instances))?.let(RelayedRecords::of),
            storeAge = instances.heardAt?.let { (now - it).inWholeMilliseconds },
            loadAges = issuer.recentLoads().map { (now - it).inWholeMilliseconds },
            prompts = promptNews.since(report.known.prompts),
            quarantines = quarantine.snapshot(),
            ends = heard.values.map { it.report.ends }.reduce(TopicEnds::latest),
        )
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
            val unsettled = if (lease.isFirstHolder) RepetitionShares.ABSENT_AFTER else shareTerms.settledAfter
            shares = RepetitionShares(shareTerms, now + unsettled)
        }
        return shares.renew(report.node, report.repetitionShare, report.sequence, now)
    }

    private fun tellIssuer() {
        val reports = heard.values.map { it.report }
        val pressure = HashMap<ModelName, ModelPressure>()
        val use = HashMap<Pair<ModelName, ModelName>, Double>()
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
                use.merge(ModelName(part.model) to ModelName(part.adapter), part.use, Double::plus)
            }
        }
        issuer.onDemand(pressure, use)
    }

    private fun sum(reports: List<NodeReport>): Map<String, WorkTotals> {
        val totals = HashMap<String, WorkTotals>()
        for (report in reports) {
            for ((instance, work) in report.work) totals.merge(instance, work, WorkTotals::plus)
        }
        return totals
    }

    private fun suspects(reports: List<NodeReport>): Map<String, Long> {
        val longest = HashMap<String, Long>()
        for (report in reports) {
            for ((instance, remaining) in report.suspects) longest.merge(instance, remaining, ::maxOf)
        }
        return longest
    }

    private class Heard(
        val report: NodeReport,
        val at: Moment,
    )

    private companion object {
        /** Several missed reports. */
        val MEMBER_SILENCE = 1_500.milliseconds
    }
}
