package plantainturn.request

import plantainturn.process.time.TimerService
import java.util.concurrent.CompletableFuture
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/**
 * Counts the requests in flight, so that a planned stop can wait for them.
 *
 * After [beginStop] no new request may begin, and [awaitIdle] waits for those in flight.
 */
public class RequestTracker {
    private val lock = ReentrantLock()
    private var count = 0
    private var stopping = false
    private val idle = CompletableFuture<Boolean>()

    /** The number of requests in flight. */
    public val inFlight: Int get() = lock.withLock { count }

    /** Whether a planned stop has begun. */
    public val isStopping: Boolean get() = lock.withLock { stopping }

    /** Counts one more request and returns true, unless a planned stop has begun. Each true requires one [end]. */
    public fun tryBegin(): Boolean =
        lock.withLock {
            if (!stopping) count += 1
            !stopping
        }

    /**
     * Counts follow-up work of a request in flight, even while stopping. It requires one more [end].
     */
    public fun beginFollowUp(): Unit = lock.withLock { count += 1 }

    /** Records the end of a request or of follow-up work. */
    public fun end(): Unit =
        lock.withLock {
            count -= 1
            if (stopping && count == 0) idle.complete(true)
        }

    /** Prevents new requests from beginning. Repeated calls have no effect. */
    public fun beginStop(): Unit =
        lock.withLock {
            stopping = true
            if (count == 0) idle.complete(true)
        }

    /**
     * Blocks the calling thread until no request is in flight, for at most [limit], and returns whether that is so.
     *
     * Call it after [beginStop].
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
