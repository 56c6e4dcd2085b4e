package plantainturn.request

import plantainturn.process.time.TimerService
import java.util.concurrent.CompletableFuture
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/**
 * Counts the requests in flight, so that a planned stop cuts off none.
 *
 * After [beginStop] no request begins any more, and [awaitIdle] waits for those that had begun.
 */
public class RequestTracker {
    private val lock = ReentrantLock()
    private var count = 0
    private var stopping = false
    private val idle = CompletableFuture<Boolean>()

    /** Requests in flight. */
    public val inFlight: Int get() = lock.withLock { count }

    /** Whether a planned stop has begun. */
    public val isStopping: Boolean get() = lock.withLock { stopping }

    /** Counts one more request and returns true, unless a planned stop has begun. Each true needs one [end]. */
    public fun tryBegin(): Boolean =
        lock.withLock {
            if (!stopping) count += 1
            !stopping
        }

    /**
     * Counts work that a request in flight leaves behind, even while stopping. It needs one more [end].
     */
    public fun beginFollowUp(): Unit = lock.withLock { count += 1 }

    /** Counts one request less. */
    public fun end(): Unit =
        lock.withLock {
            count -= 1
            if (stopping && count == 0) idle.complete(true)
        }

    /** Lets no further request begin. Repeated calls have no effect. */
    public fun beginStop(): Unit =
        lock.withLock {
            stopping = true
            if (count == 0) idle.complete(true)
        }

    /**
     * Blocks the calling thread until no request is in flight, for [limit] at most, and returns whether none is.
     *
     * To be called after [beginStop].
     */
    public fun awaitIdle(
        timer: TimerService,
        limit: Duration,
    ): Boolean {
        val waiting = CompletableFuture<Boolean>()
        idle.thenAccept { waiting.complete(true) }
        val timeout = timer.schedule(limit) { waiting.complete(false) }
        return waiting.get().also { timeout.cancel() }
    }
}
