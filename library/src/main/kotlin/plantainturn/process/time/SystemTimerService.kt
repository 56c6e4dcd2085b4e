package plantainturn.process.time

import java.util.concurrent.ScheduledThreadPoolExecutor

/** A [TimerService] that uses the system's monotonic clock and runs actions on its own daemon threads. */
public class SystemTimerService private constructor(
    private val executor: ScheduledThreadPoolExecutor,
) : TimerService by ExecutorTimerService(executor),
    AutoCloseable {
    /** Creates a timer service with [threads] threads. */
    public constructor(threads: Int = DEFAULT_THREADS) : this(daemonThreads(threads))

    /** Cancels all work, interrupts running actions and stops the threads. */
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
