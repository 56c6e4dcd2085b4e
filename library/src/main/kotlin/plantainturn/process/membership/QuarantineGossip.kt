package plantainturn.process.membership

import plantainturn.process.time.TimerService
import plantainturn.process.time.TimerSubscription
import plantainturn.request.quarantine.QuarantineEntry
import plantainturn.request.quarantine.QuarantineExchange
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Publishes this node's quarantine entries to the other members and merges the entries that they publish. */
public class QuarantineGossip(
    private val membership: Membership,
    private val timer: TimerService,
    private val quarantine: QuarantineExchange,
    private val period: Duration = DEFAULT_PERIOD,
) : AutoCloseable {
    private var subscription: TimerSubscription? = null

    /** Starts publishing and listening. */
    public fun start() {
        membership.subscribe(
            object : MembershipListener {
                override fun onValueReceived(received: ReceivedValue<GossipValue>): Unit = mergeReceived(received)
            },
        )
        quarantine.subscribe(::publish)
        subscription = timer.subscribe(period, ::publish)
    }

    override fun close() {
        subscription?.cancel()
    }

    private fun publish() {
        val published = membership.values(GossipValue.Quarantine::class).map { evidenceOf(it.value.entry) }.toSet()
        quarantine
            .snapshot()
            .filterNot { evidenceOf(it) in published }
            .forEach { membership.publish(GossipValue.Quarantine(it)) }
    }

    private fun mergeReceived(received: ReceivedValue<GossipValue>) {
        val value = received.value as? GossipValue.Quarantine ?: return
        if (received.member == membership.self) return
        val age = (timer.now() - received.publishedAt).inWholeMilliseconds
        val remaining = value.entry.remainingMilliseconds - age
        if (remaining > 0) quarantine.merge(listOf(value.entry.copy(remainingMilliseconds = remaining)))
    }

    /** Returns [entry] without its remaining time, which changes even when the evidence does not. */
    private fun evidenceOf(entry: QuarantineEntry): QuarantineEntry = entry.copy(remainingMilliseconds = 0)

    private companion object {
        val DEFAULT_PERIOD = 200.milliseconds
    }
}
