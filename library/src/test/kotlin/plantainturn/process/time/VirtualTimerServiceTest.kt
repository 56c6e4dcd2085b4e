package plantainturn.process.time

import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class VirtualTimerServiceTest {
    private val timer = VirtualTimerService()
    private val seen = mutableListOf<String>()

    @Test
    fun `actions run in the order of their due moments`() {
        timer.schedule(2.seconds) { seen += "second" }
        timer.schedule(1.seconds) { seen += "first" }
        timer.advance(3.seconds)
        assertEquals(listOf("first", "second"), seen)
    }

    @Test
    fun `actions due at the same moment run in the order of scheduling`() {
        timer.schedule(1.seconds) { seen += "a" }
        timer.schedule(1.seconds) { seen += "b" }
        timer.advance(1.seconds)
        assertEquals(listOf("a", "b"), seen)
    }

    @Test
    fun `a subscription runs once a period until it is cancelled`() {
        val subscription = timer.subscribe(100.milliseconds) { seen += "tick" }
        timer.advance(250.milliseconds)
        subscription.cancel()
        timer.advance(1.seconds)
        assertEquals(listOf("tick", "tick"), seen)
    }

    @Test
    fun `an action sees the moment at which it was due`() {
        var moment = Moment.ORIGIN
        timer.schedule(10.milliseconds) { moment = timer.now() }
        timer.advance(1.seconds)
        assertEquals(Moment.ORIGIN + 10.milliseconds, moment)
        assertEquals(Moment.ORIGIN + 1.seconds, timer.now())
    }
}
