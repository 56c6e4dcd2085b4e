package plantainturn.daemon.operator

import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicReference

/** Wakes all that wait for the next change of something. */
internal class ChangeSignal {
    private val pending = AtomicReference(CompletableFuture<Unit>())

    /** Returns a future that completes at the next change. */
    fun next(): CompletableFuture<Unit> = pending.get()

    /** Completes the futures that were given out. */
    fun signal() {
        pending.getAndSet(CompletableFuture()).complete(Unit)
    }
}
