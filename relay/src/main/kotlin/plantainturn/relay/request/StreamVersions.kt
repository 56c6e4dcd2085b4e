package plantainturn.relay.request

import plantainturn.connection.roster.UpstreamInstance
import plantainturn.connection.roster.VersionHistory
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.request.RequestIdentifier
import plantainturn.request.relay.OriginReplication
import plantainturn.request.relay.OriginTelling
import plantainturn.request.relay.StreamOrigins
import plantainturn.version.configuration.ServiceName
import kotlin.time.Duration

/**
 * Decides at which software versions streams may be continued.
 *
 * What is not known is not guessed: a stream of unknown origin is continued only where one version alone has served for
 * longer than any stream lives.
 *
 * @param replication tells other nodes of origins and asks them
 * @param lifetime returns the longest time that a stream lives
 * @param isViewCurrent returns whether the known instances are those that other nodes know too
 * @param wallClock returns Unix milliseconds
 */
internal class StreamVersions(
    private val origins: StreamOrigins,
    private val replication: OriginReplication,
    private val history: VersionHistory,
    private val timer: TimerService,
    private val lifetime: () -> Duration,
    private val isViewCurrent: () -> Boolean,
    private val wallClock: () -> Long,
) {
    /** Returns where [stream] of [service] may be continued; it is null if the caller does not name it. */
    fun constraintOf(
        stream: RequestIdentifier?,
        service: ServiceName,
    ): VersionConstraint {
        val version = stream?.let(origins::versionOf)
        return when {
            version != null -> VersionConstraint.Only(version)
            isViewCurrent() && !history.isMixed(service, lifetime()) -> VersionConstraint.None
            else -> VersionConstraint.Unknown
        }
    }

    /**
     * Asks other nodes for the origin of [stream], and calls [done] when it is known here or was not learned.
     *
     * The argument of [done] tells whether each node that may know it has answered or ended.
     */
    fun find(
        stream: RequestIdentifier,
        done: (isCertain: Boolean) -> Unit,
    ): Unit = replication.find(stream, done)

    /**
     * Records that [instance], to which the request was sent at [sentAt], brought the first event of an answer.
     *
     * Returns whether another node has to know before the caller may get the event: the caller could resume the
     * stream, and without that knowledge it would have to be refused once this process has ended.
     */
    fun onFirstEvent(
        stream: RequestIdentifier,
        instance: UpstreamInstance,
        sentAt: Moment,
    ): Boolean {
        val isNew = origins.onEvent(stream, instance, wallClock() - (timer.now() - sentAt).inWholeMilliseconds)
        return isNew && history.isMixed(instance.service, lifetime())
    }

    /** Lets other nodes know the origin of [stream], and calls [done] when its caller may get an event. */
    fun tell(
        stream: RequestIdentifier,
        done: (OriginTelling) -> Unit,
    ): Unit = replication.tell(stream, done)
}
