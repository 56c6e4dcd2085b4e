package plantainturn.daemon.node

import plantainturn.connection.log.RecordAppender
import plantainturn.connection.log.RecordIdentifiers
import plantainturn.connection.log.RecordSource
import plantainturn.connection.log.SnapshotSettings
import plantainturn.connection.log.SnapshotWriter
import plantainturn.connection.log.StreamName
import plantainturn.connection.log.TimerPause
import plantainturn.process.time.TimerService
import plantainturn.version.configuration.ConfigurationFold
import plantainturn.version.configuration.ConfigurationFollower
import plantainturn.version.configuration.ConfigurationSubmitter

/** What keeps this node at the configuration in force. */
internal class VersionPart(
    platform: Platform,
    incarnation: String,
    timer: TimerService,
    peers: () -> List<RecordSource>,
    rank: () -> Int,
) : AutoCloseable {
    private val pause = TimerPause(timer)
    private val appender =
        RecordAppender(platform.log, StreamName.CONFIGURATION, RecordIdentifiers("$incarnation/configuration"), timer)
    val follower = ConfigurationFollower(platform.log, pause, peers)
    val submitter = ConfigurationSubmitter(platform.log, follower, appender, timer)
    private val snapshots =
        SnapshotWriter(follower.stream, ConfigurationFold.rule, appender, timer, SnapshotSettings(), rank)
    private val threads =
        listOf(
            follower.loop.thread("configuration-follow"),
            snapshots.thread("configuration-snapshot", pause),
        )

    fun start() {
        threads.forEach { it.start() }
    }

    override fun close() {
        threads.forEach { it.close() }
    }
}
