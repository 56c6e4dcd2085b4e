package plantainturn.standins.internal

import plantainturn.process.time.TimerService
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Returns a future that completes when [delay] has passed; at once if it is zero. */
internal fun TimerService.after(delay: Duration): CompletableFuture<Unit> {
    if (!delay.isPositive()) return CompletableFuture.completedFuture(Unit)
    val future = CompletableFuture<Unit>()
    schedule(delay) { future.complete(Unit) }
    return future
}

/** Returns a future that completes when [delayMilliseconds] have passed. */
internal fun TimerService.afterMilliseconds(delayMilliseconds: Long): CompletableFuture<Unit> =
    after(delayMilliseconds.milliseconds)
