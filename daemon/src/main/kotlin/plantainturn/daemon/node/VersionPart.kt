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
import plantainturn.version.configuration.ConfigurationVersion
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.ThreadPoolExecutor.DiscardPolicy
import java.util.concurrent.TimeUnit

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
    private val catchUp =
        ThreadPoolExecutor(0, 1, IDLE_SECONDS, TimeUnit.SECONDS, ArrayBlockingQueue(1), ::daemonThread, DiscardPolicy())
    private val threads =
        listOf(
            follower.loop.thread("configuration-follow"),
            snapshots.thread("configuration-snapshot", pause),
        )

    fun start() {
        threads.forEach { it.start() }
    }

    /** Catches up with [version], which another node is said to follow, without blocking the caller. */
    fun hearOf(version: ConfigurationVersion) {
        catchUp.execute { follower.hearOf(version) }
    }

    override fun close() {
        catchUp.shutdownNow()
        threads.forEach { it.close() }
    }

    private fun daemonThread(work: Runnable) = Thread(work, "configuration-catch-up").apply { isDaemon = true }

    private companion object {
        const val IDLE_SECONDS = 10L
    }
}
