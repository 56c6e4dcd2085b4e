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
 * @param peers the peers that may have records, asked only while the log does not help
 */
public class FollowLoop(
    private val follower: StreamFollower<*, *>,
    private val log: RecordSource,
    private val pause: Pause,
    private val peers: () -> List<RecordSource> = { emptyList() },
) {
    private val logger = LogManager.getLogger(FollowLoop::class.java)

    /** Whether the log could be followed the last time. */
    @Volatile
    public var logAvailable: Boolean = false
        private set

    /** Follows the log by one long poll, or peers if the log does not help. Pauses after a failure. */
    public fun step(wait: Duration = LONG_POLL) {
        val result = follower.step(log, wait)
        logAvailable = progresses(result)
        if (logAvailable) return
        if (result is FollowResult.Behind) logger.error("The log ends at {}, before what was read", result.end)
        pull()
        pause.pause(RETRY_PAUSE)
    }

    /** Reads once what each peer has beyond this node. */
    public fun pull() {
        for (peer in peers()) {
            var result = follower.step(peer, Duration.ZERO)
            while (result is FollowResult.Adopted || (result is FollowResult.Followed && !result.caughtUp)) {
                result = follower.step(peer, Duration.ZERO)
            }
        }
    }

    /** Returns a thread, not yet started, that follows until it is closed. */
    public fun thread(name: String): LoopThread = LoopThread(name) { step() }

    private fun progresses(result: FollowResult): Boolean =
        result is FollowResult.Followed || result is FollowResult.Adopted

    private companion object {
        val LONG_POLL = 5.seconds
        val RETRY_PAUSE = 200.milliseconds
    }
}
