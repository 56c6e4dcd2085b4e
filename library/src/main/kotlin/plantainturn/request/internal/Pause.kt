package plantainturn.request.internal

import plantainturn.process.time.TimerService
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration

/** Blocks the calling thread until [duration] has passed on [timer]. */
internal fun pause(
    timer: TimerService,
    duration: Duration,
) {
    val passed = CountDownLatch(1)
    timer.schedule(duration) { passed.countDown() }
    passed.await()
}
