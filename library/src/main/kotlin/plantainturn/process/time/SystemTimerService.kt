package plantainturn.process.time

import java.util.concurrent.ScheduledThreadPoolExecutor

/** A [TimerService] on the machine's monotonic clock that runs its actions on daemon threads of its own. */
public class SystemTimerService private constructor(
    private val executor: ScheduledThreadPoolExecutor,
) : TimerService by ExecutorTimerService(executor),
    AutoCloseable {
    /** Makes a timer service with [threads] threads. */
    public constructor(threads: Int = DEFAULT_THREADS) : this(daemonThreads(threads))

    /** Cancels all work and ends the threads. */
    override fun close() {
        executor.shutdownNow()
    }

    private companion object {
        const val DEFAULT_THREADS = 2

        fun daemonThreads(threads: Int): ScheduledThreadPoolExecutor =
            ScheduledThreadPoolExecutor(threads) { work -> Thread(work, "timer").apply { isDaemon = true } }
                .apply { removeOnCancelPolicy = true }
    }
}
