package plantainturn.connection.log

import org.apache.logging.log4j.LogManager

/**
 * A daemon thread that runs one step after another until it is closed.
 *
 * A step that throws is logged and does not end the loop. Closing interrupts the step that runs.
 *
 * @param name the thread's name
 * @param step what is done; it blocks or pauses by itself
 */
public class LoopThread(
    name: String,
    private val step: () -> Unit,
) : AutoCloseable {
    private val logger = LogManager.getLogger(LoopThread::class.java)

    @Volatile
    private var closed = false
    private val thread = Thread(::run, name).apply { isDaemon = true }

    /** Starts the thread. May be called once. */
    public fun start(): LoopThread {
        thread.start()
        return this
    }

    /** Ends the loop. Does not wait for the thread. */
    override fun close() {
        closed = true
        thread.interrupt()
    }

    @Suppress("TooGenericExceptionCaught")
    private fun run() {
        while (!closed) {
            try {
                step()
            } catch (exception: Exception) {
                if (!closed) logger.error("A step of {} failed", thread.name, exception)
            }
        }
    }
}
