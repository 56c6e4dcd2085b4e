package plantainturn.daemon.caller

import java.util.concurrent.CompletableFuture
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/**
 * Runs each request on a thread of its own, up to a limit.
 *
 * @param limit requests that run or wait at once
 */
internal class RequestExecutor(
    limit: Int,
) : AutoCloseable {
    private val executor =
        ThreadPoolExecutor(0, limit, IDLE_SECONDS, TimeUnit.SECONDS, SynchronousQueue()) { work ->
            Thread(null, work, "request", STACK_BYTES).apply { isDaemon = true }
        }

    /** Starts [work] and returns its end, or null if the limit is reached. */
    fun submit(work: () -> Unit): CompletableFuture<Void>? =
        try {
            CompletableFuture.runAsync(work, executor)
        } catch (_: RejectedExecutionException) {
            null
        }

    override fun close() {
        executor.shutdown()
    }

    private companion object {
        const val IDLE_SECONDS = 10L
        const val STACK_BYTES = 262_144L
    }
}
