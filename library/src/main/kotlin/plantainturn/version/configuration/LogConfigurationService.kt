package plantainturn.version.configuration

import plantainturn.connection.log.LogService
import plantainturn.connection.log.LoopThread
import plantainturn.connection.log.Pause
import plantainturn.connection.log.RecordAppender
import plantainturn.connection.log.RecordIdentifiers
import plantainturn.connection.log.RecordSource
import plantainturn.connection.log.SnapshotSettings
import plantainturn.connection.log.SnapshotWriter
import plantainturn.connection.log.StreamName
import plantainturn.connection.log.TimerPause
import plantainturn.process.time.TimerService
import java.util.concurrent.ArrayBlockingQueue

/**
 * The configuration's part of a node: follows the stream, submits patches, appends snapshots and serves peers.
 *
 * @param log the platform's log
 * @param incarnation names this run of the node, unlike any other run of any node
 * @param peers the peers that may have records of the stream
 * @param rank this node's place among the nodes that it believes to live, from 0, for snapshots
 */
public class LogConfigurationService(
    log: LogService,
    incarnation: String,
    timer: TimerService,
    private val pause: Pause = TimerPause(timer),
    snapshots: SnapshotSettings = SnapshotSettings(),
    peers: () -> List<RecordSource> = { emptyList() },
    rank: () -> Int = { 0 },
) : AutoCloseable {
    private val appender =
        RecordAppender(log, StreamName.CONFIGURATION, RecordIdentifiers(incarnation), timer, pause)
    private val heard = ArrayBlockingQueue<ConfigurationVersion>(1)
    private val threads = mutableListOf<LoopThread>()

    /** The configuration in force at this node, and the records kept for peers. */
    public val follower: ConfigurationFollower = ConfigurationFollower(log, pause, peers)

    private val submitter = ConfigurationSubmitter(log, follower, appender, timer, pause)
    private val writer =
        SnapshotWriter(follower.stream, ConfigurationFold.rule, appender, timer, snapshots, rank)

    /** Starts the threads that follow the stream, ask peers and append snapshots. May be called once. */
    @Synchronized
    public fun start() {
        threads += follower.loop.thread("configuration-follow").start()
        threads += LoopThread("configuration-pull") { follower.hearOf(heard.take()) }.start()
        threads += writer.thread("configuration-snapshot", pause).start()
    }

    /** Ends the threads. */
    @Synchronized
    override fun close() {
        threads.forEach { it.close() }
    }

    /** Submits [patch] and tells its fate. Blocks for seconds at most and throws nothing. */
    public fun submit(patch: ConfigurationPatch): PatchResult = submitter.submit(patch)

    /** Learns that [version] is in force somewhere. Does not block; a newer version is asked of the peers soon. */
    public fun hearOf(version: ConfigurationVersion) {
        val known = follower.current
        if (known == null || known.version < version) heard.offer(version)
    }
}
