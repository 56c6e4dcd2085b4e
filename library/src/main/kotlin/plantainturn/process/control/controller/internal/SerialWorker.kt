package plantainturn.process.control.controller.internal

import org.apache.logging.log4j.LogManager
import java.util.concurrent.Executor

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
        synchronized(lock) {
            if (running || queue.isNotEmpty()) return false
            queue.addLast(task)
        }
        start()
        return true
    }

    private fun start() {
        synchronized(lock) {
            if (running) return
            running = true
        }
        executor.execute(::drain)
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
