package plantainturn.connection.log

import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.seconds

/**
 * Appends snapshots of a stream before the log drops the records that they stand for.
 *
 * A new node can't tell the age of the snapshot at which it started, so it appends its first one early.
 * Every node runs one. When a snapshot is due, the node of the lowest rank appends it, and the others see it before
 * their turn comes. Nothing depends on the ranks being right: two snapshots are as good as one.
 *
 * @param rank this node's place among the nodes that it believes to live, from 0
 */
public class SnapshotWriter(
    private val follower: StreamFollower<*, *>,
    private val rule: Int,
    private val appender: RecordAppender,
    private val timer: TimerService,
    private val settings: SnapshotSettings,
    private val rank: () -> Int,
) {
    private val counter = AtomicLong()
    private var seen: SnapshotMark? = null
    private var since: Moment = timer.now() - settings.interval + settings.interval / START_DIVISOR
    private var dueSince: Moment? = null
    private var covered = LogOffset.FIRST
    private var charactersBefore = 0L
    private var restartedAt = LogOffset.FIRST

    /** Appends a snapshot if it is this node's turn. Returns whether it did so. */
    @Synchronized
    public fun check(): Boolean {
        noteNewest()
        if (!isDue()) return false
        val start = dueSince ?: timer.now().also { dueSince = it }
        if (timer.now() - start < settings.stagger * rank()) return false
        return write()
    }

    /** Returns a thread, not yet started, that checks from time to time until it is closed. */
    public fun thread(
        name: String,
        pause: Pause,
    ): LoopThread =
        LoopThread(name) {
            pause.pause(CHECK_PERIOD)
            check()
        }

    private fun noteNewest() {
        val newest = follower.newestSnapshot ?: return
        if (newest == seen) return
        val first = seen == null
        seen = newest
        if (first) {
            covered = newest.covers
        } else if (newest.covers >= restartedAt) {
            restart(newest.covers)
        }
    }

    /** Counts from a snapshot. One that covers less than this node had read at the last one is too old to count. */
    private fun restart(covers: LogOffset) {
        covered = maxOf(covered, covers)
        restartedAt = follower.position?.next ?: LogOffset.FIRST
        charactersBefore = follower.foldedCharacters
        since = timer.now()
        dueSince = null
    }

    private fun isDue(): Boolean {
        val position = follower.position ?: return false
        if (position.next == LogOffset.FIRST) return false
        val records = position.next.value - covered.value
        val characters = follower.foldedCharacters - charactersBefore
        return records >= settings.intervalRecords ||
            characters >= settings.intervalCharacters ||
            timer.now() - since >= settings.interval
    }

    private fun write(): Boolean {
        val identifier = "${appender.incarnation}/${counter.incrementAndGet()}"
        val parts = follower.snapshot(identifier, settings.partCharacters)
        val from = parts.firstOrNull()?.covers ?: return false
        val written = parts.all { append(it, from) }
        if (written) restart(from)
        return written
    }

    private fun append(
        part: SnapshotPart,
        from: LogOffset,
    ): Boolean = appender.append(RecordCodec.encodeSnapshot(rule, part), from) is AppendFate.Stands

    private companion object {
        const val START_DIVISOR = 4
        val CHECK_PERIOD = 1.seconds
    }
}
