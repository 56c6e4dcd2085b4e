package plantainturn.standins.internal

import plantainturn.request.RequestIdentifier
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Counts what an engine did. Executions are kept for the latest requests only. */
internal class EngineCounters {
    val tokens = AtomicLong()
    val refusedNotRun = AtomicLong()
    val resumeMismatches = AtomicLong()
    val cancelled = AtomicLong()
    val crashes = AtomicLong()
    private val lock = ReentrantLock()
    private val executions = LinkedHashMap<String, Int>()

    fun executed(request: RequestIdentifier) {
        lock.withLock {
            executions.merge(request.value, 1, Int::plus)
            if (executions.size > KEPT_REQUESTS) executions.remove(executions.keys.first())
        }
    }

    fun executions(): Map<String, Int> = lock.withLock { executions.toMap() }

    private companion object {
        const val KEPT_REQUESTS = 100_000
    }
}
