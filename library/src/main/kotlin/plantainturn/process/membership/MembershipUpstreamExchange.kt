package plantainturn.process.membership

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import plantainturn.connection.engine.EngineReport
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.engine.Resident
import plantainturn.connection.engine.ResidentState
import plantainturn.connection.upstream.ObservedReport
import plantainturn.connection.upstream.UpstreamExchange
import plantainturn.process.time.TimerService
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration.Companion.milliseconds

/** Shares upstream reports and leaving VMs between nodes through [membership]. */
public class MembershipUpstreamExchange(
    private val membership: Membership,
    private val timer: TimerService,
) : UpstreamExchange {
    override val self: String = membership.self.value

    override fun nodes(): PersistentList<String> = membership.members().map { it.identifier.value }.toPersistentList()

    override fun publish(report: ObservedReport) {
        membership.publish(observationOf(report))
    }

    override fun observations(): Map<UpstreamName, ObservedReport> =
        membership
            .values(GossipValue.UpstreamObservation::class)
            .filter { it.member != membership.self }
            .map(::reportOf)
            .sortedBy { it.takenAt }
            .associateBy { it.upstream }

    override fun publishLeaving(
        address: String,
        leaving: Boolean,
    ) {
        membership.publish(GossipValue.LeavingVm(address, leaving))
    }

    override fun leavingAddresses(): Set<String> =
        membership
            .values(GossipValue.LeavingVm::class)
            .filter { it.value.leaving }
            .map { it.value.address }
            .toSet()

    private fun observationOf(observed: ObservedReport): GossipValue.UpstreamObservation {
        val report = observed.report
        return GossipValue.UpstreamObservation(
            upstream = observed.upstream,
            incarnation = report.incarnation,
            sequence = report.sequence,
            reportAgeMilliseconds = (timer.now() - observed.takenAt).inWholeMilliseconds,
            running = report.running,
            waiting = report.waiting,
            tokensPerSecond = report.tokensPerSecond,
            ready =
                report.residents
                    .filter { it.state == ResidentState.READY }
                    .map { it.name }
                    .toPersistentList(),
        )
    }

    private fun reportOf(received: ReceivedValue<GossipValue.UpstreamObservation>): ObservedReport {
        val value = received.value
        val takenAt = received.publishedAt - value.reportAgeMilliseconds.milliseconds
        val report =
            EngineReport(
                incarnation = value.incarnation,
                sequence = value.sequence,
                ageMilliseconds = (timer.now() - takenAt).inWholeMilliseconds,
                highestFence = FenceNumber.NONE,
                residents = value.ready.map { Resident(it, "", 0, ResidentState.READY) }.toPersistentList(),
                running = value.running,
                waiting = value.waiting,
                tokensPerSecond = value.tokensPerSecond,
            )
        return ObservedReport(value.upstream, report, takenAt)
    }
}
