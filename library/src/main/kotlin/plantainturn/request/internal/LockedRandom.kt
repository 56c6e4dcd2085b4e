package plantainturn.request.internal

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.random.Random

/** A thread-safe wrapper of [random]. */
internal class LockedRandom(
    private val random: Random,
) : Random() {
    private val lock = ReentrantLock()

    override fun nextBits(bitCount: Int): Int = lock.withLock { random.nextBits(bitCount) }
}
