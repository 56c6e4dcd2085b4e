package plantainturn.request.relay

import plantainturn.process.time.TimerService
import plantainturn.process.time.TimerSubscription
import plantainturn.request.RequestIdentifier
import plantainturn.request.relay.OriginTransport.AskResult
import plantainturn.request.relay.OriginTransport.KeepResult
import plantainturn.version.configuration.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Lets other nodes know the origins of this node's streams while several software versions serve.
 *
 * A caller that has an event may resume its stream after this process was killed. So the first event waits until
 * another process keeps the origin, [PATIENCE] at most: a node whose peers are slow or cut off still serves.
 *
 * Load pattern: streams begin one by one, each with other keepers. A keeper gets one message at a time; what begins
 * meanwhile goes into its next one, so that a slow keeper gets fewer and larger messages. Confined to one thread.
 *
 * @param lifetime returns the longest time that a stream lives
 * @param mixedServices returns the services whose streams may be of one of several versions
 */
public class OriginReplication(
    private val origins: StreamOrigins,
    private val keepers: OriginKeepers,
    private val transport: OriginTransport,
    private val timer: TimerService,
    private val lifetime: () -> Duration,
    private val mixedServices: () -> Set<ServiceName>,
) {
    private val outboxes = HashMap<OriginKeeper, Outbox>()
    private val keptAt = LinkedHashMap<RequestIdentifier, HashMap<OriginKeeper, Int>>()
    private val awaited = HashMap<RequestIdentifier, Awaited>()
    private var replicatedState: Any? = null
    private var failuresInSuccession = 0

    /** Lets other nodes keep the origin of this node's [stream], and calls [done] when its caller may get an event. */
    public fun tell(
        stream: RequestIdentifier,
        done: (OriginTelling) -> Unit,
    ) {
        if (failuresInSuccession >= ISOLATION_FAILURES || keepers.keepersOf(stream).isEmpty()) {
            done(OriginTelling.ALONE)
            return replicate(listOf(stream))
        }
        awaited.remove(stream)?.end(OriginTelling.LATE)
        val timeout = timer.schedule(PATIENCE) { awaited.remove(stream)?.end(OriginTelling.LATE) }
        awaited[stream] = Awaited(timeout, done)
        replicate(listOf(stream))
    }

    /**
     * Lets nodes keep what they should and do not yet. To be called several times per second.
     *
     * Streams may have begun before several versions served, keepers may have ended, and versions may have been
     * corrected.
     */
    public fun step() {
        val services = mixedServices()
        if (services.isEmpty()) return
        keepers.step()
        val state = Triple(services, keepers.revision, origins.corrections)
        if (state == replicatedState) return
        replicatedState = state
        replicate(origins.ownSince(lifetime(), services))
    }

    /**
     * Asks other nodes for the origin of [stream].
     *
     * Calls [done] once it is known here or all nodes that may keep it were asked in vain. The argument `isCertain`
     * tells whether each of them has answered or ended.
     */
    public fun find(
        stream: RequestIdentifier,
        done: (isCertain: Boolean) -> Unit,
    ) {
        val asked = (keepers.candidatesFor(stream) + listOfNotNull(transport.collector)).distinct()
        if (asked.isEmpty()) return done(false)
        var unanswered = asked.size
        var isCertain = true
        var ended = false
        for (address in asked) {
            transport.ask(address, stream) { result ->
                unanswered--
                if (result is AskResult.Known) origins.learn(listOf(result.origin))
                if (result is AskResult.Silent) isCertain = false
                if (!ended && (unanswered == 0 || origins.versionOf(stream) != null)) {
                    ended = true
                    done(isCertain)
                }
            }
        }
    }

    private fun replicate(streams: List<RequestIdentifier>) {
        val touched = LinkedHashSet<OriginKeeper>()
        for (stream in streams) {
            val correction = origins.originOf(stream)?.correction ?: continue
            for (keeper in keepers.keepersOf(stream)) {
                val kept = keptAt[stream]?.get(keeper)
                if (kept == null || kept < correction) {
                    outboxes.getOrPut(keeper, ::Outbox).waiting += stream
                    touched += keeper
                }
            }
        }
        touched.forEach(::send)
    }

    private fun send(keeper: OriginKeeper) {
        val outbox = outboxes[keeper] ?: return
        if (outbox.isSending) return
        val batch = outbox.waiting.take(MAXIMUM_BATCH)
        outbox.waiting -= batch.toSet()
        val sent = batch.mapNotNull(origins::originOf)
        if (sent.isEmpty()) {
            outboxes.remove(keeper)
            return
        }
        outbox.isSending = true
        transport.keep(keeper.address, sent) { result ->
            outbox.isSending = false
            if (result == KeepResult.FAILED) failuresInSuccession++
            if (result == KeepResult.KEPT) {
                failuresInSuccession = 0
                sent.forEach { onKept(keeper, it) }
                send(keeper)
            } else {
                outboxes.remove(keeper)
                val unsupported = result == KeepResult.UNSUPPORTED
                keepers.avoid(
                    keeper,
                    if (unsupported) OriginKeepers.OLDER_BUILD_PAUSE else OriginKeepers.SILENCE_PAUSE,
                )
                replicate(sent.map { it.stream } + outbox.waiting)
            }
        }
    }

    private fun onKept(
        keeper: OriginKeeper,
        origin: StreamOrigin,
    ) {
        keptAt.getOrPut(origin.stream, ::HashMap)[keeper] = origin.correction
        if (keptAt.size > CAPACITY) keptAt.remove(keptAt.keys.first())
        awaited.remove(origin.stream)?.end(OriginTelling.KEPT)
    }

    private class Outbox {
        val waiting = LinkedHashSet<RequestIdentifier>()
        var isSending = false
    }

    private class Awaited(
        private val timeout: TimerSubscription,
        private val done: (OriginTelling) -> Unit,
    ) {
        fun end(telling: OriginTelling) {
            timeout.cancel()
            done(telling)
        }
    }

    public companion object {
        /** How long a first event waits at most; a third of what callers accept between an event and its arrival. */
        public val PATIENCE: Duration = 40.milliseconds

        /** After as many the node is likely to be cut off from all others, and waits for none until one answers. */
        private const val ISOLATION_FAILURES = 6

        /** The streams of a node within their lifetime; what is forgotten is told once more at most. */
        private const val CAPACITY = 4_096

        /** Keeps a message below 64 KiB. */
        private const val MAXIMUM_BATCH = 512
    }
}
