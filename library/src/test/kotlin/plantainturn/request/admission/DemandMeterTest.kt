package plantainturn.request.admission

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import plantainturn.request.Samples
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class DemandMeterTest {
    private val meter = DemandMeter()
    private var now = Moment.ORIGIN

    @Test
    fun `averages follow a steady rate and the peak of a burst is kept for about an hour`() {
        recordArrivals(requests = 3_000, perSecond = 2)
        assertEquals(2.0, read().fastRequestsPerSecond, absoluteTolerance = 0.2)
        assertEquals(2.0, read().slowRequestsPerSecond, absoluteTolerance = 0.2)
        recordArrivals(requests = 1_200, perSecond = 20)
        now += 10.minutes
        assertTrue(read().fastRequestsPerSecond < 0.01)
        assertEquals(20.0, read().peakRequestsPerSecond, absoluteTolerance = 1.0)
        now += 61.minutes
        assertEquals(0.0, read().peakRequestsPerSecond)
    }

    @Test
    fun `tokens are averaged and waiting requests are included`() {
        meter.recordArrival(Samples.model, now)
        repeat(100) { meter.recordAnswer(Samples.model, if (it % 2 == 0) 90 else 110) }
        assertEquals(100.0, read().tokensPerRequest, absoluteTolerance = 3.0)
        assertEquals(4, read().waiting)
    }

    @Test
    fun `a target without recent requests is removed`() {
        meter.recordArrival(Samples.model, now)
        assertTrue(meter.snapshot(now + 3.hours) { 0 }.isEmpty())
    }

    private fun recordArrivals(
        requests: Int,
        perSecond: Int,
    ) = repeat(requests) {
        now += 1.seconds / perSecond
        meter.recordArrival(Samples.model, now)
    }

    private fun read() = meter.snapshot(now + 1.milliseconds) { 4 }.getValue(Samples.model)
}
