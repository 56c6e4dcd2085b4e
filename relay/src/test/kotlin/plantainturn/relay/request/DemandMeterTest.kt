package plantainturn.relay.request

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import plantainturn.process.time.VirtualTimerService
import plantainturn.request.relay.GenerationDemand
import plantainturn.version.configuration.ModelName
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against underestimated demand in the first second of traffic, and for a model that is not resident at any
 * engine, whose requests are turned away before an engine gets them.
 */
class DemandMeterTest {
    private val timer = VirtualTimerService()
    private val meter = DemandMeter(timer)
    private val busy = ModelName("busy")
    private val missing = ModelName("late")

    @Test
    fun `a busy model does not look idle in the first second`() {
        addRequests(busy, perSecond = 20, seconds = 1)

        assertTrue(meter.pressure(emptyMap()).getValue(busy).worthPerSecond in 15.0..25.0)
    }

    @Test
    fun `demand for a missing model is counted while its requests are turned away`() {
        addRequests(busy, perSecond = 20, seconds = 10)
        addRequests(missing, perSecond = 10, seconds = 4)

        val pressure = meter.pressure(mapOf(missing to 3)).getValue(missing)
        assertTrue(pressure.engineSharesWanted > 1.0, "more than one engine: $pressure")
        assertEquals(3, pressure.waiting)
    }

    private fun addRequests(
        model: ModelName,
        perSecond: Int,
        seconds: Int,
    ) {
        repeat(perSecond * seconds) {
            meter.onRequest(GenerationDemand(model, null, 9_000, 52, persistentListOf()), 1.0, 180.milliseconds)
            timer.advance(1.seconds / perSecond)
        }
    }
}
