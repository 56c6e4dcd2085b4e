package plantainturn.process.control.controller.internal

import org.apache.logging.log4j.LogManager
import java.util.concurrent.Executor
import java.util.concurrent.RejectedExecutionException

/** Runs tasks one after the other on [executor], so that what blocks holds up only its own worker. */
internal class SerialWorker(
    private val executor: Executor,
) {
    private val logger = LogManager.getLogger(SerialWorker::class.java)
    private val lock = Any()
    private val queue = ArrayDeque<() -> Unit>()
    private var running = false

    /** Runs [task] after those that wait. */
    fun submit(task: () -> Unit) {
        synchronized(lock) { queue.addLast(task) }
        start()
    }

    /** Runs [task] unless another runs or waits. Returns whether it was taken. */
    fun submitIfIdle(task: () -> Unit): Boolean {
        val idle = synchronized(lock) { !running && queue.isEmpty() }
        if (idle) submit(task) else start()
        return idle
    }

    private fun start() {
        synchronized(lock) {
            if (running || queue.isEmpty()) return
            running = true
        }
        try {
            executor.execute(::drain)
        } catch (exception: RejectedExecutionException) {
            logger.warn("No thread for control work; it waits for the next round", exception)
            synchronized(lock) { running = false }
        }
    }

    private fun drain() {
        var task = next()
        while (task != null) {
            runLogged(task)
            task = next()
        }
    }

    private fun next(): (() -> Unit)? =
        synchronized(lock) {
            val task = queue.removeFirstOrNull()
            if (task == null) running = false
            task
        }

    @Suppress("TooGenericExceptionCaught")
    private fun runLogged(task: () -> Unit) {
        try {
            task()
        } catch (exception: Exception) {
            logger.error("A control task failed", exception)
        }
    }
}
