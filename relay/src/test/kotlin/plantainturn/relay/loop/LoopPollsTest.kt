package plantainturn.relay.loop

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LoopPollsTest {
    private var now = Moment.ORIGIN + 10.seconds
    private val polls = LoopPolls { now }

    /** Guards against time that passes twice as fast for the requests of an idle node, which polls every 50 ms. */
    @Test
    fun `what an idle loop handles came just now`() {
        repeat(10) { poll(after = 50.milliseconds) }

        assertEquals(now, polls.earliestArrival())
        assertFalse(polls.isOverdue)
    }

    @Test
    fun `what is handled after a long turn may have come since the poll before`() {
        poll(after = 50.milliseconds)
        val polledAt = now
        now += 2.seconds
        assertTrue(polls.isOverdue)
        poll(after = 0.seconds)

        assertEquals(polledAt, polls.earliestArrival())
        assertFalse(polls.isOverdue)
        poll(after = 50.milliseconds)
        assertEquals(now, polls.earliestArrival())
    }

    private fun poll(after: Duration) {
        now += after
        polls.onPoll()
    }
}
