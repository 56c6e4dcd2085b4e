package plantainturn.request.relay

import plantainturn.connection.roster.InstanceRun
import plantainturn.connection.roster.SoftwareVersion
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.request.RequestIdentifier
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tracks which software version began each recent stream, of this node's callers and as other nodes tell.
 *
 * A stream is resumed under the name of the attempt that brought its first event, at any node, perhaps after the node
 * that began it has ended. So nodes tell each other the origins of streams while several versions serve. The newest
 * [capacity] streams are remembered. Confined to one thread.
 */
public class StreamOrigins(
    private val timer: TimerService,
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    private val known = LinkedHashMap<RequestIdentifier, StreamOrigin>()
    private val own = LinkedHashMap<RequestIdentifier, OwnStream>()
    private val unannounced = LinkedHashSet<RequestIdentifier>()
    private var runs: Map<UpstreamName, InstanceRun> = emptyMap()

    /** The number of streams that are remembered. */
    public val size: Int
        get() = known.size

    /** How often versions of this node's streams have been corrected. */
    public var corrections: Long = 0
        private set

    /** Returns the version that began [stream], null if it is not known. */
    public fun versionOf(stream: RequestIdentifier): SoftwareVersion? = known[stream]?.version

    /** Returns the origin of [stream], null if it is not known. */
    public fun originOf(stream: RequestIdentifier): StreamOrigin? = known[stream]

    /** Returns this node's streams of [services] that began within [lifetime]. */
    public fun ownSince(
        lifetime: Duration,
        services: Set<ServiceName>,
    ): List<RequestIdentifier> {
        val oldest = timer.now() - lifetime
        return own.filterValues { it.at >= oldest && it.service in services }.keys.toList()
    }

    /**
     * Records that [instance] brought events of [stream], which was sent to it at [sentAt].
     *
     * Returns whether nothing was known of the origin before, so that no other node knows it either.
     *
     * @param sentAt Unix milliseconds
     */
    public fun onEvent(
        stream: RequestIdentifier,
        instance: UpstreamInstance,
        sentAt: Long,
    ): Boolean {
        val before = known[stream]
        own.remove(stream)
        own[stream] = OwnStream(instance.service, instance.run, sentAt, timer.now())
        if (own.size > capacity) forget(own.keys.first())
        remember(StreamOrigin(stream, instance.softwareVersion, before?.correction ?: 0))
        unannounced += stream
        return before == null
    }

    /** Takes over what another node tells. */
    public fun learn(origins: List<StreamOrigin>) {
        for (origin in origins) {
            val isOutdated = known[origin.stream]?.let { it.correction > origin.correction } ?: false
            if (origin.stream !in own && !isOutdated) remember(origin)
        }
    }

    /**
     * Takes over the present [instances].
     *
     * An entry arrives later than its server starts, so a stream may have been begun by a run, under the same name,
     * that was not known yet. Its version is corrected, and told again.
     */
    public fun onInstances(instances: Collection<UpstreamInstance>) {
        val before = runs
        runs = instances.associate { it.name to it.run }
        for (instance in instances.filter { it.name in before && before[it.name] != it.run }) {
            val startedAt = instance.startedAt ?: continue
            val later = own.filterValues { it.isOfLaterRun(instance.run, startedAt) }.keys
            for (stream in later) {
                val correction = (known[stream]?.correction ?: 0) + 1
                remember(StreamOrigin(stream, instance.softwareVersion, correction))
                corrections++
                unannounced += stream
            }
        }
    }

    /** Returns up to [maximum] origins that other nodes have not been told, of services for which [isWanted] holds. */
    public fun takeUnannounced(
        maximum: Int,
        lifetime: Duration,
        isWanted: (ServiceName) -> Boolean,
    ): List<StreamOrigin> {
        val oldest = timer.now() - lifetime
        unannounced.removeIf { own[it]?.let { stream -> stream.at < oldest } ?: true }
        val wanted = unannounced.filter { isWanted(own.getValue(it).service) }.take(maximum)
        unannounced -= wanted.toSet()
        return wanted.map(known::getValue)
    }

    /** Lets all origins be told again, as what was told may have been lost. */
    public fun announceAgain() {
        unannounced += own.keys
    }

    private fun remember(origin: StreamOrigin) {
        known.remove(origin.stream)
        known[origin.stream] = origin
        if (known.size > capacity) forget(known.keys.first())
    }

    private fun forget(stream: RequestIdentifier) {
        known.remove(stream)
        own.remove(stream)
        unannounced.remove(stream)
    }

    private class OwnStream(
        val service: ServiceName,
        val run: InstanceRun,
        val sentAt: Long,
        val at: Moment,
    ) {
        fun isOfLaterRun(
            later: InstanceRun,
            startedAt: Long,
        ): Boolean =
            run.name == later.name && run != later && sentAt >= startedAt - CLOCK_DIFFERENCE.inWholeMilliseconds
    }

    private companion object {
        /** The streams of a large deployment within their lifetime. */
        const val DEFAULT_CAPACITY = 16_384

        /** By which the clocks of an instance and a node may differ. */
        val CLOCK_DIFFERENCE = 200.milliseconds
    }
}
