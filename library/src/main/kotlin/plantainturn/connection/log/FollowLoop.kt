package plantainturn.connection.log

import org.apache.logging.log4j.LogManager
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps a [StreamFollower] following the log, and starts it from peers while the log cannot give it a start.
 *
 * @param follower what follows
 * @param log the log's records of the stream
 * @param pause waits between tries while the log does not answer
 * @param peers a few peers that may have records
 */
public class FollowLoop(
    private val follower: StreamFollower<*, *>,
    private val log: RecordSource,
    private val pause: Pause,
    private val peers: () -> List<RecordSource> = { emptyList() },
) {
    private val logger = LogManager.getLogger(FollowLoop::class.java)

    private var failures = 0

    /** Whether the log could be followed the last time. */
    @Volatile
    public var logAvailable: Boolean = false
        private set

    /**
     * Follows the log by one long poll. Pauses after a failure, longer after several.
     *
     * Peers are asked if the log gives this node no start, not in every outage: what they had read before it, this node
     * hears of by their versions.
     */
    public fun step(wait: Duration = LONG_POLL) {
        val result = follower.step(log, wait)
        logAvailable = progresses(result)
        if (logAvailable) {
            failures = 0
            return
        }
        if (result is FollowResult.Behind) logger.error("The log ends at {}, before what was read", result.end)
        if (follower.position == null || result is FollowResult.SnapshotMissing) pull()
        pause.pause(RETRY_PAUSE * (1 shl failures))
        failures = (failures + 1).coerceAtMost(MAXIMUM_DOUBLINGS)
    }

    /** Reads what each peer has beyond this node. A peer that gives nothing more is left at once. */
    public fun pull() {
        for (peer in peers()) {
            var before: LogOffset?
            do {
                before = follower.position?.next
                val result = follower.step(peer, Duration.ZERO)
            } while (progresses(result) && follower.position?.next != before)
        }
    }

    /** Returns a thread, not yet started, that follows until it is closed. */
    public fun thread(name: String): LoopThread = LoopThread(name) { step() }

    private fun progresses(result: FollowResult): Boolean =
        result is FollowResult.Followed || result is FollowResult.Adopted

    private companion object {
        val LONG_POLL = 5.seconds
        val RETRY_PAUSE = 200.milliseconds
        const val MAXIMUM_DOUBLINGS = 4
    }
}
