package plantainturn.request.relay

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class InstancePaceTest {
    private val pace = InstancePace()
    private var now = Moment.ORIGIN

    /** Guards against an instance that looks slow for good after answers of a noisy moment. */
    @Test
    fun `a stated slow moment counts against the moment and not against the usual time`() {
        answer(seconds = 0.02, percent = 100, count = 50)
        answer(seconds = 0.05, percent = 250, count = 5)

        val estimate = pace.estimate(now)
        assertEquals(0.02, assertNotNull(estimate.learned), 0.001)
        assertEquals(0.05, estimate.inUse(least = 0.02), 0.002)
        assertEquals(PaceReason.STATED, estimate.reason)
    }

    /** Guards against an old statement that keeps requests away after the noise has ended. */
    @Test
    fun `a statement fades and is dropped`() {
        answer(seconds = 0.05, percent = 250, count = 1)

        now += 600.milliseconds
        assertTrue(assertNotNull(pace.estimate(now).stated) in 1.1..1.4)
        now += 700.milliseconds
        assertNull(pace.estimate(now).stated)
    }

    /** Guards against a slow instance that gets no request any more and therefore stays slow in this node's eyes. */
    @Test
    fun `without samples an instance approaches the fastest one and never undercuts it`() {
        answer(seconds = 0.06, percent = 100, count = 50)
        val known = pace.estimate(now).inUse(least = 0.02)

        now += 10.seconds
        val idle = pace.estimate(now)
        assertEquals(0.06, known, 0.001)
        assertTrue(idle.inUse(least = 0.02) in 0.02..0.025)
        assertEquals(PaceReason.UNKNOWN, idle.reason)
    }

    /** Guards against an instance that looks fast because it answers errors at once. */
    @Test
    fun `fast errors are no samples and show as failures`() {
        answer(seconds = 0.03, percent = 100, count = 10)
        repeat(10) { pace.onFailure(now) }

        val estimate = pace.estimate(now)
        assertEquals(0.03, assertNotNull(estimate.learned), 0.001)
        assertTrue(estimate.failureShare > 0.3)
        assertEquals(PaceReason.FAILING, estimate.reason)
    }

    /** Guards against statements and samples that are no numbers to reckon with. */
    @Test
    fun `odd statements and samples are bounded or ignored`() {
        pace.onStated(0, now)
        pace.onStated(-5, now)
        pace.onSample(Double.NaN, now)
        pace.onSample(0.0, now)
        assertEquals(1.0, pace.estimate(now).inUse(least = 1.0))

        pace.onStated(Int.MAX_VALUE, now)
        assertTrue(pace.estimate(now).inUse(least = 1.0) <= 10.0)
    }

    private fun answer(
        seconds: Double,
        percent: Int,
        count: Int,
    ) = repeat(count) {
        now += PAUSE
        pace.onStated(percent, now)
        pace.onSuccess(now)
        pace.onSample(seconds, now)
    }

    private companion object {
        val PAUSE: Duration = 20.milliseconds
    }
}
