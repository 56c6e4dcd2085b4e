package plantainturn.process.membership

import kotlinx.collections.immutable.toPersistentList
import plantainturn.process.time.TimerService
import plantainturn.process.time.TimerSubscription
import plantainturn.process.time.VirtualTimerService
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.NodeName
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Runs several members on one thread in virtual time, with connections that can be cut or slowed down. */
class InMemoryPeers {
    val timer = VirtualTimerService()
    val running = linkedMapOf<String, GossipMembership>()
    val frozen = mutableSetOf<String>()
    val addedLatency = mutableMapOf<String, Duration>()
    var isCut: (String, String) -> Boolean = { _, _ -> false }
    var largestMessageLength = 0
    private var processes = 0L

    fun start(
        address: String,
        seeds: List<String> = listOf(FIRST),
        adjust: (MembershipSettings) -> MembershipSettings = { it },
    ): GossipMembership {
        val settings =
            MembershipSettings(NodeName("node-$address"), address, FailureDomain("bergamo"), seeds.toPersistentList())
        val process = processes++
        val member =
            GossipMembership(
                adjust(settings),
                { to, message, timeout, onResult -> exchange(address, to, message, timeout, onResult) },
                FreezableTimerService(address),
                Random(process),
                addresses = { running.keys.toList() },
                process = process,
            )
        running[address] = member
        member.start()
        return member
    }

    /** Stops a process without announcing it. */
    fun kill(address: String) {
        running.remove(address)?.close()
    }

    /** Returns, for each member, the addresses of the members that it knows. */
    fun views(): Map<String, List<String>> =
        running.mapValues { (_, member) ->
            member.members().map { it.address }.sorted()
        }

    fun agree(): Boolean = views().values.all { it == running.keys.sorted() }

    private fun exchange(
        from: String,
        to: String,
        message: GossipMessage,
        timeout: Duration,
        onResult: (PeerResult) -> Unit,
    ) {
        var open = true
        val finish = { result: PeerResult ->
            if (open) {
                open = false
                if (from !in frozen) onResult(result)
            }
        }
        timer.schedule(timeout) { finish(PeerResult.Failed("timeout")) }
        deliver(from, to, message) { received ->
            running[to]?.receive(received) { answer ->
                deliver(to, from, answer) { finish(PeerResult.Answered(it)) }
            }
        }
    }

    private fun deliver(
        from: String,
        to: String,
        message: GossipMessage,
        onArrival: (GossipMessage) -> Unit,
    ) {
        val text = GossipJson.encode(message)
        largestMessageLength = maxOf(largestMessageLength, text.length)
        val delay = LATENCY + (addedLatency[from] ?: Duration.ZERO) + (addedLatency[to] ?: Duration.ZERO)
        timer.schedule(delay) {
            val lost = isCut(from, to) || from in frozen || to in frozen
            val decoded = GossipJson.decode(text)
            if (!lost && decoded != null) onArrival(decoded)
        }
    }

    /** A timer whose subscriptions pause while the process at [address] is frozen. */
    private inner class FreezableTimerService(
        private val address: String,
    ) : TimerService by timer {
        override fun subscribe(
            period: Duration,
            action: () -> Unit,
        ): TimerSubscription = timer.subscribe(period) { if (address !in frozen) action() }
    }

    companion object {
        const val FIRST = "http://10.0.0.0"
        val LATENCY = 2.milliseconds

        fun address(number: Int) = "http://10.0.0.$number"
    }
}
