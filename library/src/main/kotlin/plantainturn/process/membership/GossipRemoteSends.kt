package plantainturn.process.membership

import kotlinx.collections.immutable.toPersistentMap
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.process.time.TimerSubscription
import plantainturn.request.routing.RemoteSends
import plantainturn.version.configuration.UpstreamName
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Publishes this node's attempts in flight and tracks those of the other members, delayed by gossip.
 *
 * @param localInFlight returns the number of attempts that this node has in flight, by upstream
 */
public class GossipRemoteSends(
    private val membership: Membership,
    private val timer: TimerService,
    private val period: Duration = DEFAULT_PERIOD,
    private val localInFlight: () -> Map<UpstreamName, Int>,
) : RemoteSends,
    AutoCloseable {
    private class SendsReport(
        val publishedAt: Moment,
        val inFlight: Map<UpstreamName, Int>,
    )

    private val history = ConcurrentHashMap<MemberIdentifier, List<SendsReport>>()
    private var subscription: TimerSubscription? = null

    /** Starts publishing and listening. */
    public fun start() {
        membership.subscribe(
            object : MembershipListener {
                override fun onValueReceived(received: ReceivedValue<GossipValue>): Unit = record(received)

                override fun onMembersChanged() {
                    history.keys.retainAll(membership.members().map { it.identifier }.toSet())
                }
            },
        )
        subscription = timer.subscribe(period, ::publish)
    }

    override fun close() {
        subscription?.cancel()
    }

    override fun netSince(
        upstream: UpstreamName,
        since: Moment,
    ): Int = history.values.sumOf { netSince(it, upstream, since) }

    /**
     * Returns the change from the last report up to [since] to the latest one.
     *
     * Attempts reported up to [since] are already included in the upstream's own report.
     */
    private fun netSince(
        reports: List<SendsReport>,
        upstream: UpstreamName,
        since: Moment,
    ): Int {
        val latest = reports.lastOrNull()?.takeIf { it.publishedAt > since } ?: return 0
        val before = reports.lastOrNull { it.publishedAt <= since } ?: return 0
        return (latest.inFlight[upstream] ?: 0) - (before.inFlight[upstream] ?: 0)
    }

    private fun record(received: ReceivedValue<GossipValue>) {
        val value = received.value as? GossipValue.RecentSends ?: return
        if (received.member == membership.self) return
        history.merge(received.member, listOf(SendsReport(received.publishedAt, value.inFlight))) { before, more ->
            (before + more).takeLast(MAXIMUM_REPORTS)
        }
    }

    /** Publishes the attempts in flight, without the least busy upstreams if not all fit in a message. */
    private fun publish() {
        var inFlight = localInFlight().filterValues { it > 0 }.toPersistentMap()
        while (membership.publish(GossipValue.RecentSends(inFlight)) is PublishResult.TooLarge) {
            inFlight = inFlight.remove(inFlight.minBy { it.value }.key)
        }
    }

    private companion object {
        val DEFAULT_PERIOD = 500.milliseconds
        const val MAXIMUM_REPORTS = 8
    }
}
