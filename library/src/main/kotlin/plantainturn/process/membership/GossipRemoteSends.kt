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
 * Tells the others what this node has in flight, and knows what they have, as late as gossip is.
 *
 * @param own gives the attempts that this node has in flight, by upstream
 */
public class GossipRemoteSends(
    private val membership: Membership,
    private val timer: TimerService,
    private val period: Duration = DEFAULT_PERIOD,
    private val own: () -> Map<UpstreamName, Int>,
) : RemoteSends,
    AutoCloseable {
    private class Told(
        val at: Moment,
        val inFlight: Map<UpstreamName, Int>,
    )

    private val history = ConcurrentHashMap<MemberIdentifier, List<Told>>()
    private var subscription: TimerSubscription? = null

    /** Begins to tell the others and to listen to them. */
    public fun start() {
        membership.subscribe(
            object : MembershipListener {
                override fun onHeard(heard: HeardValue<GossipValue>): Unit = take(heard)

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

    /** What a member told before [since] is in the report already; what it told after that counts by the difference. */
    private fun netSince(
        told: List<Told>,
        upstream: UpstreamName,
        since: Moment,
    ): Int {
        val latest = told.lastOrNull()?.takeIf { it.at > since } ?: return 0
        val before = told.lastOrNull { it.at <= since } ?: return 0
        return (latest.inFlight[upstream] ?: 0) - (before.inFlight[upstream] ?: 0)
    }

    private fun take(heard: HeardValue<GossipValue>) {
        val value = heard.value as? GossipValue.RecentSends ?: return
        if (heard.member == membership.self) return
        history.merge(heard.member, listOf(Told(heard.publishedAt, value.inFlight))) { before, more ->
            (before + more).takeLast(KEPT)
        }
    }

    /** Tells the busiest upstreams if a message can't carry all. */
    private fun publish() {
        var inFlight = own().filterValues { it > 0 }.toPersistentMap()
        while (membership.publish(GossipValue.RecentSends(inFlight)) is PublishResult.TooLarge) {
            inFlight = inFlight.remove(inFlight.minBy { it.value }.key)
        }
    }

    private companion object {
        val DEFAULT_PERIOD = 500.milliseconds
        const val KEPT = 8
    }
}
