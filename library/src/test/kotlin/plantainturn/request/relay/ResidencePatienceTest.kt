package plantainturn.request.relay

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ResidencePatienceTest {
    /** Found by vdw-ijsbeker, quiet-1: three requests were turned away just when their model had arrived. */
    @Test
    fun `a load that is no longer announced has ended and its news is waited for`() {
        val patience = ResidencePatience(at(0), left = 12.seconds)

        assertTrue(patience.waitsForModel(arrival = 300.milliseconds, leftNow = 3.seconds, now = at(9_000)))
        assertTrue(patience.waitsForModel(arrival = null, leftNow = 2.seconds, now = at(9_400)))
        assertFalse(patience.waitsForModel(arrival = null, leftNow = 1.seconds, now = at(12_700)))
    }

    @Test
    fun `a load that comes too late is not waited for`() {
        val patience = ResidencePatience(at(0), left = 2.seconds)

        assertTrue(patience.waitsForModel(arrival = 1_400.milliseconds, leftNow = 2.seconds, now = at(0)))
        assertFalse(patience.waitsForModel(arrival = 1_600.milliseconds, leftNow = 2.seconds, now = at(0)))
    }

    @Test
    fun `a caller with much time waits longer for a plan than one with little`() {
        val hurried = ResidencePatience(at(0), left = 2.seconds)
        val patient = ResidencePatience(at(0), left = 12.seconds)

        assertTrue(hurried.waitsForModel(arrival = null, leftNow = 1_200.milliseconds, now = at(800)))
        assertFalse(hurried.waitsForModel(arrival = null, leftNow = 1.seconds, now = at(1_000)))
        assertTrue(patient.waitsForModel(arrival = null, leftNow = 9.seconds, now = at(3_000)))
    }

    @Test
    fun `an adapter is waited for in proportion to the caller's time`() {
        assertTrue(ResidencePatience(at(0), left = 2.seconds).waitsForAdapter(at(900)))
        assertFalse(ResidencePatience(at(0), left = 2.seconds).waitsForAdapter(at(1_100)))
        assertTrue(ResidencePatience(at(0), left = 12.seconds).waitsForAdapter(at(5_000)))
    }

    private companion object {
        fun at(milliseconds: Int): Moment = Moment.ORIGIN + milliseconds.milliseconds
    }
}
