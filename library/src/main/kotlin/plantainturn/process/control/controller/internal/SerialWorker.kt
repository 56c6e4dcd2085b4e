package plantainturn.process.control.controller.internal

import org.apache.logging.log4j.LogManager
import java.util.concurrent.Executor
import java.util.concurrent.RejectedExecutionException

/** Runs tasks one after another on [executor], so that a blocking task delays only the tasks of the same worker. */
internal class SerialWorker(
    private val executor: Executor,
) {
    private val logger = LogManager.getLogger(SerialWorker::class.java)
    private val lock = Any()
    private val queue = ArrayDeque<() -> Unit>()
    private var running = false

    /** Queues [task] behind the tasks that are already waiting. */
    fun submit(task: () -> Unit) {
        synchronized(lock) { queue.addLast(task) }
        start()
    }

    /** Queues [task] unless another is running or waiting. Returns whether it was queued. */
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
            logger.warn("The executor rejected control tasks; they wait for the next round", exception)
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
