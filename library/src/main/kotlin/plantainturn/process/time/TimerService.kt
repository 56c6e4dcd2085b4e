package plantainturn.process.time

import kotlin.time.Duration

/**
 * Provides time and schedules delayed work for all components of a process.
 *
 * Components use it instead of reading clocks or sleeping, so that tests and replays can control time with a
 * [VirtualTimerService]. Actions run on the service's threads and must be short; an action that throws is logged and
 * does not end its subscription.
 */
public interface TimerService {
    /** Returns the current moment. */
    public fun now(): Moment

    /** Runs [action] once, when [delay] has passed. */
    public fun schedule(
        delay: Duration,
        action: () -> Unit,
    ): TimerSubscription

    /**
     * Runs [action] every [period], first when one period has passed.
     *
     * @throws IllegalArgumentException if [period] is not positive
     */
    public fun subscribe(
        period: Duration,
        action: () -> Unit,
    ): TimerSubscription
}
