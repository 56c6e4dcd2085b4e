package plantainturn.request

import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.process.time.TimerSubscription
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/**
 * A [TimerService] that advances its clock to each scheduled action and runs the action immediately.
 *
 * For code that blocks until a time has passed.
 */
class SelfAdvancingTimerService : TimerService {
    private val nanoseconds = AtomicLong()

    override fun now(): Moment = Moment(nanoseconds.get())

    override fun schedule(
        delay: Duration,
        action: () -> Unit,
    ): TimerSubscription {
        nanoseconds.addAndGet(delay.inWholeNanoseconds)
        action()
        return TimerSubscription { }
    }

    override fun subscribe(
        period: Duration,
        action: () -> Unit,
    ): TimerSubscription = TimerSubscription { }
}
