package plantainturn.process.control.controller.internal

import org.junit.jupiter.api.Test
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class SerialWorkerTest {
    @Test
    fun `a worker whose task hangs holds up no other and takes no second round`() {
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
}
