package plantainturn.process.time

import org.apache.logging.log4j.LogManager
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * A [TimerService] on the machine's monotonic clock.
 *
 * @param threads the number of daemon threads that run the actions
 */
public class SystemTimerService(
    threads: Int = DEFAULT_THREADS,
) : TimerService,
    AutoCloseable {
    private val logger = LogManager.getLogger(SystemTimerService::class.java)
    private val executor =
        ScheduledThreadPoolExecutor(threads) { work ->
            Thread(work, "timer").apply { isDaemon = true }
        }

    init {
        executor.removeOnCancelPolicy = true
    }

    override fun now(): Moment = Moment(System.nanoTime())

    override fun schedule(
        delay: Duration,
        action: () -> Unit,
    ): TimerSubscription {
        val nanoseconds = delay.inWholeNanoseconds.coerceAtLeast(0)
        val future = executor.schedule({ runLogged(action) }, nanoseconds, TimeUnit.NANOSECONDS)
        return cancellation(future)
    }

    override fun subscribe(
        period: Duration,
        action: () -> Unit,
    ): TimerSubscription {
        require(period.isPositive()) { "period must be positive: $period" }
        val nanoseconds = period.inWholeNanoseconds
        val future =
            executor.scheduleWithFixedDelay({ runLogged(action) }, nanoseconds, nanoseconds, TimeUnit.NANOSECONDS)
        return cancellation(future)
    }

    /** Cancels all work and ends the threads. */
    override fun close() {
        executor.shutdownNow()
    }

    private fun cancellation(future: ScheduledFuture<*>): TimerSubscription = TimerSubscription { future.cancel(false) }

    @Suppress("TooGenericExceptionCaught")
    private fun runLogged(action: () -> Unit) {
        try {
            action()
        } catch (exception: Exception) {
            logger.error("A timer action failed", exception)
        }
    }

    private companion object {
        const val DEFAULT_THREADS = 2
    }
}
