package plantainturn.relay.http

import io.netty.channel.EventLoop
import org.apache.logging.log4j.LogManager
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.process.time.TimerSubscription
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** A [TimerService] that runs its actions on one event loop, beside that loop's input and output. */
public class EventLoopTimerService(
    private val loop: EventLoop,
) : TimerService {
    private val logger = LogManager.getLogger(EventLoopTimerService::class.java)

    override fun now(): Moment = Moment(System.nanoTime())

    override fun schedule(
        delay: Duration,
        action: () -> Unit,
    ): TimerSubscription {
        val nanoseconds = delay.inWholeNanoseconds.coerceAtLeast(0)
        return cancellation(loop.schedule({ runLogged(action) }, nanoseconds, TimeUnit.NANOSECONDS))
    }

    override fun subscribe(
        period: Duration,
        action: () -> Unit,
    ): TimerSubscription {
        require(period.isPositive()) { "period must be positive: $period" }
        val nanoseconds = period.inWholeNanoseconds
        return cancellation(
            loop.scheduleWithFixedDelay({ runLogged(action) }, nanoseconds, nanoseconds, TimeUnit.NANOSECONDS),
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
