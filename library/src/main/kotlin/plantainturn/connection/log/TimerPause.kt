package plantainturn.connection.log

import plantainturn.process.time.TimerService
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration

/**
 * A [Pause] on the time of a [TimerService].
 *
 * An interrupt of the thread ends the pause early and leaves the thread interrupted.
 */
public class TimerPause(
    private val timer: TimerService,
) : Pause {
    override fun pause(duration: Duration) {
        val latch = CountDownLatch(1)
        val subscription = timer.schedule(duration) { latch.countDown() }
        try {
            latch.await()
        } catch (_: InterruptedException) {
            subscription.cancel()
            Thread.currentThread().interrupt()
        }
    }
}
