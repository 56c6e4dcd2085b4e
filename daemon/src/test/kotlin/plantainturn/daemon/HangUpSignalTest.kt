package plantainturn.daemon

import org.junit.jupiter.api.Test
import sun.misc.Signal
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.assertTrue

class HangUpSignalTest {
    /** Guards against a process that ends by a signal while it starts, and against settings that it then misses. */
    @Test
    fun `a signal before the handler is set is handled later, and one after it at once`() {
        HangUpSignal.keep()
        Signal.raise(Signal("HUP"))
        Thread.sleep(DELIVERY_MILLISECONDS)
        val handled = CountDownLatch(2)

        HangUpSignal.handle { handled.countDown() }
        Signal.raise(Signal("HUP"))

        assertTrue(handled.await(WAIT_SECONDS, TimeUnit.SECONDS), "${handled.count} signals were lost")
    }

    private companion object {
        const val DELIVERY_MILLISECONDS = 200L
        const val WAIT_SECONDS = 5L
    }
}
