package plantainturn.relay.node

import plantainturn.connection.roster.UpstreamInstance
import plantainturn.connection.store.ReadPace
import plantainturn.connection.store.TopicFollower
import plantainturn.process.time.Moment
import plantainturn.process.time.VirtualTimerService
import plantainturn.relay.InstanceSamples
import plantainturn.relay.request.CrashTracker
import plantainturn.request.quarantine.QuarantineRegister
import plantainturn.request.quarantine.RequestFingerprint
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Nodes without an issuer before servers that end under some requests, each of which comes again at any node.
 *
 * @param dark whether a server's end does not close its connections
 * @param restarts whether nodes start again now and then
 * @param outages whether servers also end by themselves
 */
internal class FatalRequestFleet(
    private val random: Random,
    private val requests: Int,
    private val dark: Boolean = false,
    private val restarts: Boolean = false,
    private val outages: Boolean = false,
) {
    private inner class Node {
        val register = QuarantineRegister(timer, BreakTopic.QUARANTINE_SETTINGS)
        val topic = BreakTopic(store, register, timer) { timer.now().nanoseconds / NANOSECONDS_PER_MILLISECOND }
        val crashes = CrashTracker(register, topic, timer) { _, _ -> false }
        val startedAt = timer.now()

        init {
            TopicFollower(store, BreakTopic.NAME, topic, timer) { ReadPace(2.seconds, 200.milliseconds) }.start()
        }
    }

    private class Server(
        var instance: UpstreamInstance,
        var downUntil: Moment = Moment.ORIGIN,
    )

    private val timer = VirtualTimerService()
    private val store = MemoryRecordStore(timer)
    private val nodes = MutableList(NODES) { Node() }
    private val servers = List(SERVERS) { Server(instanceOf(it, life = 0)) }
    private val ends = HashMap<RequestFingerprint, MutableList<Moment>>()
    private val lateSends = HashMap<RequestFingerprint, Int>()
    private var innocents = 0L

    /** The most sends of one request that came [CONTACT] or later after its third server, by nodes that ran as long. */
    val mostLateSends: Int
        get() = lateSends.values.maxOrNull() ?: 0

    /** Innocent requests that were refused after fewer breaks than the bound. */
    var refusedInnocents = 0
        private set

    /** Innocent requests that broke off at least once. */
    var struckInnocents = 0
        private set

    fun run(seconds: Int) {
        repeat(seconds * STEPS_PER_SECOND) { step ->
            if (step % STEPS_PER_SECOND == 0) {
                repeat(requests) { sendFatal(RequestFingerprint(-1L - it)) }
                if (restarts && random.nextInt(RESTART_EVERY) == 0) nodes[random.nextInt(NODES)] = Node()
                if (outages) strike(random.nextInt(1, MOST_STRUCK))
            }
            timer.advance(STEP)
        }
    }

    private fun sendFatal(fingerprint: RequestFingerprint) {
        val node = nodes.random(random)
        val server = pick(node, fingerprint) ?: return
        val third = ends[fingerprint]?.getOrNull(QuarantineRegister.MAXIMUM_BREAKS - 1)
        val now = timer.now()
        if (third != null && now - third > CONTACT && now - node.startedAt > CONTACT) {
            lateSends.merge(fingerprint, 1, Int::plus)
        }
        ends.getOrPut(fingerprint) { ArrayList() } += now
        val ended = server.instance
        end(server)
        val noticed = if (dark) SILENCE else LATENCY
        timer.schedule(noticed) { node.crashes.broke(fingerprint, ended) }
    }

    /** Servers end by themselves under innocent requests, which are sent again at once. */
    private fun strike(count: Int) {
        val struck = servers.filter { it.downUntil <= timer.now() }.shuffled(random).take(count)
        repeat(INNOCENTS_EACH) {
            val fingerprint = RequestFingerprint(++innocents)
            val node = nodes.random(random)
            struck.forEach { server ->
                if (node.crashes.isBlocked(fingerprint) ||
                    !node.crashes.tryBegin(fingerprint, server.instance)
                ) {
                    return@forEach
                }
                node.crashes.broke(fingerprint, server.instance)
            }
            struckInnocents++
            val mayGoOn = struck.size < QuarantineRegister.MAXIMUM_BREAKS
            if (mayGoOn && pick(node, fingerprint) == null && servers.any { it.downUntil <= timer.now() }) {
                refusedInnocents++
            }
        }
        struck.forEach(::end)
    }

    private fun pick(
        node: Node,
        fingerprint: RequestFingerprint,
    ): Server? {
        if (node.crashes.isBlocked(fingerprint)) return null
        val server = servers.filter { it.downUntil <= timer.now() }.randomOrNull(random) ?: return null
        return server.takeIf { node.crashes.tryBegin(fingerprint, it.instance) }
    }

    /** Most servers come back under another name, some under the same one. */
    private fun end(server: Server) {
        val down = random.nextLong(SHORTEST_DOWN, LONGEST_DOWN).milliseconds
        server.downUntil = timer.now() + down
        val keepsName = random.nextInt(SAME_NAME_EVERY) == 0
        val life = requireNotNull(server.instance.startedAt) + 1
        server.instance =
            if (keepsName) server.instance.copy(startedAt = life) else instanceOf(servers.indexOf(server), life)
    }

    private companion object {
        const val NODES = 8
        const val SERVERS = 9
        const val STEPS_PER_SECOND = 10
        const val RESTART_EVERY = 6
        const val MOST_STRUCK = 3
        const val INNOCENTS_EACH = 5
        const val SAME_NAME_EVERY = 4
        const val SHORTEST_DOWN = 1_000L
        const val LONGEST_DOWN = 4_000L
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000
        val STEP = 100.milliseconds
        val LATENCY = 10.milliseconds
        val SILENCE = 1_500.milliseconds
        val CONTACT = 3.seconds

        fun instanceOf(
            number: Int,
            life: Long,
        ) = InstanceSamples.instance("server-$number-$life", life)
    }
}
