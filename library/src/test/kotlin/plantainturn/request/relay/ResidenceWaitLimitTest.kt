package plantainturn.request.relay

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ResidenceWaitLimitTest {
    /**
     * A load disappears from the announcements before its model is known to be resident.
     *
     * Found by vdw-ijsbeker, quiet-1: three requests were rejected in between, just when their model had arrived.
     */
    @Test
    fun `a request waits for the report of a load that is no longer announced`() {
        val limit = ResidenceWaitLimit(at(0), initialTimeLeft = 12.seconds)

        assertTrue(limit.shouldWaitForModel(arrival = 300.milliseconds, timeLeft = 3.seconds, now = at(9_000)))
        assertTrue(limit.shouldWaitForModel(arrival = null, timeLeft = 2.seconds, now = at(9_400)))
        assertFalse(limit.shouldWaitForModel(arrival = null, timeLeft = 1.seconds, now = at(12_700)))
    }

    @Test
    fun `a request does not wait for a load that completes too late`() {
        val limit = ResidenceWaitLimit(at(0), initialTimeLeft = 2.seconds)

        assertTrue(limit.shouldWaitForModel(arrival = 1_400.milliseconds, timeLeft = 2.seconds, now = at(0)))
        assertFalse(limit.shouldWaitForModel(arrival = 1_600.milliseconds, timeLeft = 2.seconds, now = at(0)))
    }

    @Test
    fun `a caller with much time left waits longer for a plan than one with little`() {
        val short = ResidenceWaitLimit(at(0), initialTimeLeft = 2.seconds)
        val long = ResidenceWaitLimit(at(0), initialTimeLeft = 12.seconds)

        assertTrue(short.shouldWaitForModel(arrival = null, timeLeft = 1_200.milliseconds, now = at(800)))
        assertFalse(short.shouldWaitForModel(arrival = null, timeLeft = 1.seconds, now = at(1_000)))
        assertTrue(long.shouldWaitForModel(arrival = null, timeLeft = 9.seconds, now = at(3_000)))
    }

    @Test
    fun `the wait for an adapter is proportional to the caller's time`() {
        assertTrue(ResidenceWaitLimit(at(0), initialTimeLeft = 2.seconds).shouldWaitForAdapter(at(900)))
        assertFalse(ResidenceWaitLimit(at(0), initialTimeLeft = 2.seconds).shouldWaitForAdapter(at(1_100)))
        assertTrue(ResidenceWaitLimit(at(0), initialTimeLeft = 12.seconds).shouldWaitForAdapter(at(5_000)))
    }

    private companion object {
        fun at(milliseconds: Int): Moment = Moment.ORIGIN + milliseconds.milliseconds
    }
}
