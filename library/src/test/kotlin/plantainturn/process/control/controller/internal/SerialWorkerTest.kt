package plantainturn.process.control.controller.internal

import org.junit.jupiter.api.Test
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class SerialWorkerTest {
    @Test
    fun `a hanging task blocks no other worker while its own worker rejects further rounds`() {
        val executor = Executors.newCachedThreadPool()
        val release = CountDownLatch(1)
        val begun = CountDownLatch(1)
        val done = CountDownLatch(1)
        val hanging = SerialWorker(executor)
        hanging.submit {
            begun.countDown()
            release.await()
        }
        begun.await()
        SerialWorker(executor).submit(done::countDown)
        done.await()
        assertFalse(hanging.submitIfIdle {})
        val next = CountDownLatch(1)
        hanging.submit(next::countDown)
        release.countDown()
        next.await()
        assertTrue(executor.shutdownNow().isEmpty())
    }

    @Test
    fun `a task that the executor rejected is run in a later round`() {
        var full = true
        var done = 0
        val worker = SerialWorker { if (full) throw RejectedExecutionException("full") else it.run() }
        worker.submit { done++ }
        full = false
        worker.submitIfIdle { done++ }
        assertEquals(1, done)
        assertTrue(worker.submitIfIdle { done++ })
        assertEquals(2, done)
    }
}
