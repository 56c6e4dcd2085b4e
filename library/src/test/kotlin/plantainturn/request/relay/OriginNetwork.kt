package plantainturn.request.relay

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import plantainturn.connection.roster.SocketLocation
import plantainturn.connection.roster.SoftwareVersion
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.time.VirtualTimerService
import plantainturn.request.RequestIdentifier
import plantainturn.request.relay.OriginTransport.AskResult
import plantainturn.request.relay.OriginTransport.KeepResult
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Nodes in memory that tell each other origins of streams, in virtual time. */
internal class OriginNetwork(
    count: Int,
) {
    val timer = VirtualTimerService()
    val nodes = List(count) { Node("node-$it", "run-$it") }

    /** What may be wrong with a node. */
    enum class State { SOUND, DEAD, CUT_OFF, SLOW, OLDER_BUILD }

    init {
        nodes.forEach { node -> node.keepers.onNodes(nodes.associate { it.address to it.run }, isFirst = true) }
    }

    /** One node. Its messages take [LATENCY] each way; one that is cut off or slow answers nobody in time. */
    inner class Node(
        val address: String,
        val run: String,
    ) : OriginTransport {
        var state = State.SOUND
        val origins = StreamOrigins(timer)
        val keepers = OriginKeepers(address, timer) { emptyList() }
        val replication = OriginReplication(origins, keepers, this, timer, { LIFETIME }) { mixed }
        var mixed = setOf(SERVICE)

        /** The number of messages that other nodes were sent. */
        var messages = 0
            private set

        override val collector: String? = null

        init {
            timer.subscribe(200.milliseconds) { if (state != State.DEAD) replication.step() }
        }

        /** Brings the first event of [stream], and returns how telling of it ended once it has. */
        fun begin(
            stream: String,
            version: String,
        ): () -> OriginTelling? {
            origins.onEvent(RequestIdentifier(stream), instance("e", version), sentAt = 0)
            var result: OriginTelling? = null
            replication.tell(RequestIdentifier(stream)) { if (state != State.DEAD) result = it }
            return { result }
        }

        /** Returns the version of [stream] that this node finds, null if it finds none. */
        fun find(stream: String): SoftwareVersion? {
            if (origins.versionOf(RequestIdentifier(stream)) == null) {
                replication.find(RequestIdentifier(stream)) { }
                timer.advance(TIMEOUT * 2)
            }
            return origins.versionOf(RequestIdentifier(stream))
        }

        override fun keep(
            address: String,
            origins: List<StreamOrigin>,
            done: (KeepResult) -> Unit,
        ) = exchange(address, KeepResult.FAILED, KeepResult.FAILED, done) { peer ->
            if (peer.state == State.OLDER_BUILD) {
                KeepResult.UNSUPPORTED
            } else {
                peer.origins.learn(origins)
                KeepResult.KEPT
            }
        }

        override fun ask(
            address: String,
            stream: RequestIdentifier,
            done: (AskResult) -> Unit,
        ) = exchange(address, AskResult.Unknown, AskResult.Silent, done) { peer ->
            peer.origins.originOf(stream)?.let(AskResult::Known) ?: AskResult.Unknown
        }

        private fun <T> exchange(
            address: String,
            ifDead: T,
            ifSilent: T,
            done: (T) -> Unit,
            answer: (Node) -> T,
        ) {
            if (state == State.DEAD) return
            messages++
            val peer = nodes.first { it.address == address }
            timer.schedule(LATENCY) {
                val isSilent = State.CUT_OFF in listOf(state, peer.state) || peer.state == State.SLOW
                when {
                    isSilent -> timer.schedule(TIMEOUT) { done(ifSilent) }
                    peer.state == State.DEAD -> timer.schedule(LATENCY) { done(ifDead) }
                    else -> answer(peer).let { result -> timer.schedule(LATENCY) { done(result) } }
                }
            }
        }
    }

    companion object {
        val SERVICE = ServiceName("llm")
        val LATENCY: Duration = 1.milliseconds
        val TIMEOUT: Duration = 300.milliseconds
        val LIFETIME: Duration = 15.seconds

        /** Returns an instance of the software [version]. */
        fun instance(
            name: String,
            version: String,
            startedAt: Long = 1,
        ): UpstreamInstance =
            UpstreamInstance(
                UpstreamName(name),
                SERVICE,
                SocketLocation("127.0.0.1", 1),
                FailureDomain("zone"),
                startedAt,
                concurrency = 1,
                leaving = false,
                residents = persistentMapOf(),
                hostCopies = persistentSetOf(),
                diskCopies = persistentSetOf(),
                softwareVersion = SoftwareVersion(version),
            )
    }
}
