package plantainturn.relay.loop

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Adds up what an event loop spends its time on, so that a late loop can be explained. Confined to the loop. */
internal class LoopWork {
    private val nanoseconds = LongArray(LoopTask.entries.size)
    private val counts = IntArray(LoopTask.entries.size)

    /** Runs [action] and adds its time to that of [task]. */
    inline fun <T> measure(
        task: LoopTask,
        action: () -> T,
    ): T {
        val begunAt = System.nanoTime()
        try {
            return action()
        } finally {
            add(task, System.nanoTime() - begunAt)
        }
    }

    /** Returns the time and number of each task that ran since the last call, as `name=time/number` pairs. */
    fun takeSummary(): String =
        LoopTask.entries
            .filter { counts[it.ordinal] > 0 }
            .joinToString(" ") { task ->
                val time: Duration = nanoseconds[task.ordinal].nanoseconds
                "${task.label}=${time.inWholeMilliseconds}ms/${counts[task.ordinal]}"
            }.also { clear() }

    /** Begins anew. */
    fun clear() {
        nanoseconds.fill(0)
        counts.fill(0)
    }

    /** Adds [elapsed] nanoseconds to the time of [task]. */
    fun add(
        task: LoopTask,
        elapsed: Long,
    ) {
        nanoseconds[task.ordinal] += elapsed
        counts[task.ordinal] += 1
    }
}
