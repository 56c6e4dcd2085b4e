package plantainturn.process.time

import org.apache.logging.log4j.LogManager
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * A [TimerService] that uses the system's monotonic clock and runs actions on [executor], such as an event loop.
 *
 * The caller is responsible for shutting down the executor.
 */
public class ExecutorTimerService(
    private val executor: ScheduledExecutorService,
) : TimerService {
    private val logger = LogManager.getLogger(ExecutorTimerService::class.java)

    override fun now(): Moment = Moment(System.nanoTime())

    override fun schedule(
        delay: Duration,
        action: () -> Unit,
    ): TimerSubscription {
        val nanoseconds = delay.inWholeNanoseconds.coerceAtLeast(0)
        return cancellation(executor.schedule({ runLogged(action) }, nanoseconds, TimeUnit.NANOSECONDS))
    }

    override fun subscribe(
        period: Duration,
        action: () -> Unit,
    ): TimerSubscription {
        require(period.isPositive()) { "period must be positive: $period" }
        val nanoseconds = period.inWholeNanoseconds
        return cancellation(
            executor.scheduleWithFixedDelay({ runLogged(action) }, nanoseconds, nanoseconds, TimeUnit.NANOSECONDS),
        )
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
}
