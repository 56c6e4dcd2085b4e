package plantainturn.relay.node

import kotlinx.collections.immutable.toPersistentList
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.time.Moment
import plantainturn.process.time.VirtualTimerService
import plantainturn.relay.InstanceSamples
import plantainturn.relay.request.SignsOfLife
import plantainturn.request.quarantine.RequestFingerprint
import plantainturn.request.quarantine.RequestTraits
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Simulates nodes without an issuer, and servers that crash on requests with certain parts in their prompts.
 *
 * No two requests are alike. All requests that run at a server break off when it crashes.
 *
 * @param nodeCount number of nodes
 * @param readPause how long nodes rest between two readings of the topic
 */
internal class PromptPartCrashSimulation(
    private val random: Random,
    private val nodeCount: Int = 8,
    private val readPause: Duration = 500.milliseconds,
) {
    private inner class Node : SignsOfLife {
        private val skew = random.nextLong(-MAXIMUM_SKEW_MILLISECONDS, MAXIMUM_SKEW_MILLISECONDS)
        private val evidence = CrashEvidenceSample(store, timer, random, readPause) { skew }
        private val answeredSends = HashMap<UpstreamInstance, Moment>()
        val attribution = evidence.attribution
        val crashes = evidence.tracker(this)
        val startedAt = timer.now()

        init {
            evidence.follower.start()
        }

        fun onAnswer(
            instance: UpstreamInstance,
            sentAt: Moment,
        ) {
            answeredSends[instance] = sentAt
        }

        override fun answeredSince(
            instance: UpstreamInstance,
            moment: Moment,
        ): Boolean = answeredSends[instance]?.let { it > moment } ?: false

        override fun livedSince(
            instance: UpstreamInstance,
            moment: Moment,
        ): Boolean = answeredSince(instance, moment)

        override fun heardSince(
            instance: UpstreamInstance,
            moment: Moment,
        ): Boolean = answeredSince(instance, moment)
    }

    private inner class Server(
        number: Int,
    ) {
        private val number = number
        private var generation = 0L
        val running = ArrayList<() -> Unit>()
        var downUntil = Moment.ORIGIN
        var instance: UpstreamInstance = create()

        val isUp: Boolean
            get() = downUntil <= timer.now()

        fun crash() {
            downUntil = timer.now() + DOWNTIME
            instance = create()
            val broken = running.toList()
            running.clear()
            broken.forEach { it() }
        }

        private fun create() = InstanceSamples.instance("server-$number-${++generation}", generation)
    }

    private val timer = VirtualTimerService()
    private val nodes: MutableList<Node>
    private val servers: List<Server>
    private var requestCount = 0L
    private val arrivals = HashMap<RequestFingerprint, MutableList<Pair<Moment, Boolean>>>()

    /** The store that the nodes share. */
    val store = InMemoryRecordStore(timer)

    /** The longest time that an answer takes. */
    var longestAnswer = 500.milliseconds

    /** Parts that crash each server that answers a request with them. */
    val fatal = HashSet<RequestFingerprint>()

    init {
        nodes = MutableList(nodeCount) { Node() }
        servers = List(SERVERS) { Server(it) }
    }

    /** Runs for [seconds]; [each] is called ten times a second, with the number of the call. */
    fun run(
        seconds: Int,
        each: (Int) -> Unit,
    ) {
        repeat(seconds * STEPS_PER_SECOND) { step ->
            each(step)
            timer.advance(STEP)
        }
    }

    /** Sends a request with [parts] in its prompt to any node; [done] is told whether it was answered. */
    fun send(
        vararg parts: String,
        done: (Boolean) -> Unit = {},
    ) {
        val traits = RequestTraits(RequestFingerprint(++requestCount), parts.map(::part).toPersistentList())
        dispatch(traits, nodes.random(random), done)
    }

    private fun dispatch(
        traits: RequestTraits,
        node: Node,
        done: (Boolean) -> Unit,
    ) {
        if (node.crashes.isBlocked(traits)) {
            if (!node.crashes.claimTrial(traits) { dispatch(traits, node, done) }) done(false)
            return
        }
        val server = servers.filter { it.isUp }.randomOrNull(random)
        if (server == null || !node.crashes.tryBegin(traits, server.instance)) {
            done(false)
            return
        }
        val sentAt = timer.now()
        val instance = server.instance
        val inTouch = sentAt - node.startedAt > CONTACT || node.startedAt == Moment.ORIGIN
        traits.parts.forEach { if (it in fatal) arrivals.getOrPut(it) { ArrayList() } += sentAt to inTouch }
        val onCrash = {
            timer.schedule(LATENCY) { node.crashes.broke(traits, instance) }
            done(false)
        }
        server.running += onCrash
        val crashes = traits.parts.any { it in fatal }
        val duration =
            if (crashes) {
                TIME_TO_CRASH
            } else {
                random
                    .nextLong(
                        50,
                        longestAnswer.inWholeMilliseconds,
                    ).milliseconds
            }
        timer.schedule(duration) {
            if (onCrash !in server.running) return@schedule
            if (crashes) {
                server.crash()
            } else {
                server.running -= onCrash
                node.onAnswer(instance, sentAt)
                node.crashes.answered(traits, instance, successful = true)
                done(true)
            }
        }
    }

    /** Crashes [count] of the servers that are up. */
    fun crash(count: Int): Unit =
        servers
            .filter { it.isUp }
            .shuffled(random)
            .take(count)
            .forEach { it.crash() }

    /** Replaces a node by one that has just started. */
    fun restartNode() {
        nodes[random.nextInt(nodeCount)] = Node()
    }

    /** Returns the sends with [part] that are later than the platform allows, by nodes in touch. */
    fun lateSends(part: String): Int {
        val sends = arrivals[part(part)].orEmpty()
        val fifth = sends.getOrNull(FIFTH)?.first ?: return 0
        return sends.count { (at, inTouch) -> inTouch && at > fifth + TIME_TO_CRASH + CONTACT }
    }

    /** Returns how many sends there were with [part]. */
    fun sends(part: String): Int = arrivals[part(part)].orEmpty().size

    /** Returns at how many nodes requests with [part] are blocked. */
    fun nodesThatBlock(part: String): Int = nodes.count { part(part) in it.attribution.blocked }

    /** Returns the fingerprint of a part. */
    fun part(name: String): RequestFingerprint = RequestFingerprint(-1L - name.hashCode().toUInt().toLong())

    private companion object {
        const val SERVERS = 9
        const val STEPS_PER_SECOND = 10
        const val FIFTH = 4
        const val MAXIMUM_SKEW_MILLISECONDS = 5_000L
        val STEP = 100.milliseconds
        val LATENCY = 10.milliseconds
        val TIME_TO_CRASH = 40.milliseconds
        val DOWNTIME = 2_500.milliseconds

        /** How long a node must have been undisturbed for the bound to hold for it. */
        val CONTACT = 3.seconds
    }
}
