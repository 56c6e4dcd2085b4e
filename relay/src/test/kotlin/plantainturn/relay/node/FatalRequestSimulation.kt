package plantainturn.relay.node

import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.time.Moment
import plantainturn.process.time.VirtualTimerService
import plantainturn.relay.InstanceSamples
import plantainturn.request.quarantine.CrashAttribution
import plantainturn.request.quarantine.RequestFingerprint
import plantainturn.request.quarantine.RequestTraits
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Simulates nodes without an issuer, and servers that crash on certain requests, which callers send again to any node.
 *
 * @param silentCrashes whether a crash leaves the server's connections open, so that it is noticed only by a timeout
 * @param restarts whether nodes occasionally restart
 * @param outages whether servers also crash independently of requests
 * @param answeredBefore whether servers answered the fatal requests until the simulation began
 */
internal class FatalRequestSimulation(
    private val random: Random,
    private val requests: Int,
    private val silentCrashes: Boolean = false,
    private val restarts: Boolean = false,
    private val outages: Boolean = false,
    private val answeredBefore: Boolean = false,
) {
    private inner class Node {
        private val evidence = CrashEvidenceSample(store, timer) { 0 }
        val crashes = evidence.tracker(NoSignsOfLife)
        val startedAt = timer.now()

        init {
            evidence.follower.start()
            if (answeredBefore && startedAt == Moment.ORIGIN) {
                repeat(requests) { evidence.attribution.onAnswer(RequestTraits(RequestFingerprint(-1L - it))) }
            }
        }
    }

    private class Server(
        var instance: UpstreamInstance,
        var downUntil: Moment = Moment.ORIGIN,
    )

    private val timer = VirtualTimerService()
    private val store = InMemoryRecordStore(timer)
    private val nodes = MutableList(NODES) { Node() }
    private val servers = List(SERVERS) { Server(instanceOf(it, generation = 0)) }
    private val crashTimes = HashMap<RequestFingerprint, MutableList<Moment>>()
    private val lateSends = HashMap<RequestFingerprint, Int>()
    private var harmlessCount = 0L

    /**
     * The maximum over all requests of the sends more than [PROPAGATION_TIME] after the crash of the request's third
     * server, by nodes that had run for longer than that.
     */
    val maximumLateSends: Int
        get() = lateSends.values.maxOrNull() ?: 0

    /** The number of harmless requests that were refused after fewer crashes than the bound. */
    var refusedHarmless = 0
        private set

    /** The number of harmless requests that broke off at least once. */
    var interruptedHarmless = 0
        private set

    fun run(seconds: Int) {
        repeat(seconds * STEPS_PER_SECOND) { step ->
            if (step % STEPS_PER_SECOND == 0) {
                repeat(requests) { sendFatal(RequestFingerprint(-1L - it)) }
                if (restarts && random.nextInt(RESTART_ODDS) == 0) nodes[random.nextInt(NODES)] = Node()
                if (outages) simulateOutage(random.nextInt(1, FAILED_SERVERS_BOUND))
            }
            timer.advance(STEP)
        }
    }

    private fun sendFatal(fingerprint: RequestFingerprint) {
        val node = nodes.random(random)
        val traits = RequestTraits(fingerprint)
        if (!node.crashes.isBlocked(traits)) {
            sendFatal(fingerprint, node)
        } else {
            node.crashes.claimTrial(traits) { sendFatal(fingerprint, node) }
        }
    }

    private fun sendFatal(
        fingerprint: RequestFingerprint,
        node: Node,
    ) {
        val server = pick(node, fingerprint) ?: return
        val third = crashTimes[fingerprint]?.getOrNull(CrashAttribution.MAXIMUM_BREAKS - 1)
        val now = timer.now()
        if (third != null && now - third > PROPAGATION_TIME && now - node.startedAt > PROPAGATION_TIME) {
            lateSends.merge(fingerprint, 1, Int::plus)
        }
        crashTimes.getOrPut(fingerprint) { ArrayList() } += now
        val crashed = server.instance
        crash(server)
        val detectionTime = if (silentCrashes) SILENCE_TIMEOUT else LATENCY
        timer.schedule(detectionTime) { node.crashes.broke(RequestTraits(fingerprint), crashed) }
    }

    /** Crashes up to [count] servers while they handle harmless requests, which are sent again immediately. */
    private fun simulateOutage(count: Int) {
        val failed = servers.filter { it.downUntil <= timer.now() }.shuffled(random).take(count)
        repeat(HARMLESS_PER_OUTAGE) {
            val fingerprint = RequestFingerprint(++harmlessCount)
            val node = nodes.random(random)
            failed.forEach { server ->
                val traits = RequestTraits(fingerprint)
                if (node.crashes.isBlocked(traits) || !node.crashes.tryBegin(traits, server.instance)) return@forEach
                node.crashes.broke(traits, server.instance)
            }
            interruptedHarmless++
            val belowBound = failed.size < CrashAttribution.MAXIMUM_BREAKS
            if (belowBound && pick(node, fingerprint) == null && servers.any { it.downUntil <= timer.now() }) {
                refusedHarmless++
            }
        }
        failed.forEach(::crash)
    }

    private fun pick(
        node: Node,
        fingerprint: RequestFingerprint,
    ): Server? {
        if (node.crashes.isBlocked(RequestTraits(fingerprint))) return null
        val server = servers.filter { it.downUntil <= timer.now() }.randomOrNull(random) ?: return null
        return server.takeIf { node.crashes.tryBegin(RequestTraits(fingerprint), it.instance) }
    }

    /** Crashes [server]. Most servers restart under another name, some under the same one. */
    private fun crash(server: Server) {
        val downtime = random.nextLong(MINIMUM_DOWNTIME_MILLISECONDS, MAXIMUM_DOWNTIME_MILLISECONDS).milliseconds
        server.downUntil = timer.now() + downtime
        val keepsName = random.nextInt(SAME_NAME_ODDS) == 0
        val generation = requireNotNull(server.instance.startedAt) + 1
        server.instance =
            if (keepsName) {
                server.instance.copy(startedAt = generation)
            } else {
                instanceOf(servers.indexOf(server), generation)
            }
    }

    private companion object {
        const val NODES = 8
        const val SERVERS = 9
        const val STEPS_PER_SECOND = 10
        const val RESTART_ODDS = 6
        const val FAILED_SERVERS_BOUND = 3
        const val HARMLESS_PER_OUTAGE = 5
        const val SAME_NAME_ODDS = 4
        const val MINIMUM_DOWNTIME_MILLISECONDS = 1_000L
        const val MAXIMUM_DOWNTIME_MILLISECONDS = 4_000L
        val STEP = 100.milliseconds
        val LATENCY = 10.milliseconds
        val SILENCE_TIMEOUT = 1_500.milliseconds
        val PROPAGATION_TIME = 3.seconds

        fun instanceOf(
            number: Int,
            generation: Long,
        ) = InstanceSamples.instance("server-$number-$generation", generation)
    }
}
