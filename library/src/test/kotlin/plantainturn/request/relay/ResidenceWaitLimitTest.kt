package plantainturn.request.relay

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ResidenceWaitLimitTest {
    /** Found by vdw-ijsbeker, quiet-1: three requests were turned away just when their model had arrived. */
    @Test
    fun `a load that is no longer announced has ended and its news is waited for`() {
        val patience = ResidenceWaitLimit(at(0), left = 12.seconds)

        assertTrue(patience.shouldWaitForModel(arrival = 300.milliseconds, leftNow = 3.seconds, now = at(9_000)))
        assertTrue(patience.shouldWaitForModel(arrival = null, leftNow = 2.seconds, now = at(9_400)))
        assertFalse(patience.shouldWaitForModel(arrival = null, leftNow = 1.seconds, now = at(12_700)))
    }

    @Test
    fun `a load that comes too late is not waited for`() {
        val patience = ResidenceWaitLimit(at(0), left = 2.seconds)

        assertTrue(patience.shouldWaitForModel(arrival = 1_400.milliseconds, leftNow = 2.seconds, now = at(0)))
        assertFalse(patience.shouldWaitForModel(arrival = 1_600.milliseconds, leftNow = 2.seconds, now = at(0)))
    }

    @Test
    fun `a caller with much time waits longer for a plan than one with little`() {
        val hurried = ResidenceWaitLimit(at(0), left = 2.seconds)
        val patient = ResidenceWaitLimit(at(0), left = 12.seconds)

        assertTrue(hurried.shouldWaitForModel(arrival = null, leftNow = 1_200.milliseconds, now = at(800)))
        assertFalse(hurried.shouldWaitForModel(arrival = null, leftNow = 1.seconds, now = at(1_000)))
        assertTrue(patient.shouldWaitForModel(arrival = null, leftNow = 9.seconds, now = at(3_000)))
    }

    @Test
    fun `an adapter is waited for in proportion to the caller's time`() {
        assertTrue(ResidenceWaitLimit(at(0), left = 2.seconds).shouldWaitForAdapter(at(900)))
        assertFalse(ResidenceWaitLimit(at(0), left = 2.seconds).shouldWaitForAdapter(at(1_100)))
        assertTrue(ResidenceWaitLimit(at(0), left = 12.seconds).shouldWaitForAdapter(at(5_000)))
    }

    private companion object {
        fun at(milliseconds: Int): Moment = Moment.ORIGIN + milliseconds.milliseconds
    }
}
