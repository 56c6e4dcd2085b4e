package plantainturn.relay.peer

import org.junit.jupiter.api.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

class ExchangeTimingTest {
    @Test
    fun `the exchanges of all nodes together are bounded, however many there are`() {
        for (nodes in listOf(8, 30, 95, 300, 1_000)) {
            val perSecond = nodes / ExchangeTiming.period(nodes).toDouble(DurationUnit.SECONDS)
            assertTrue(perSecond <= 251, "$nodes nodes: $perSecond exchanges a second")
        }
    }

    @Test
    fun `two lost exchanges are no silence, of the issuer or of a node`() {
        for (nodes in listOf(1, 8, 30, 95, 300, 1_000)) {
            val twoLost = ExchangeTiming.period(nodes) * 3
            assertTrue(ExchangeTiming.issuerTimeout(nodes) > twoLost, "$nodes nodes")
            assertTrue(ExchangeTiming.nodeTimeout(nodes) > twoLost, "$nodes nodes")
        }
    }

    @Test
    fun `few nodes exchange often`() {
        assertTrue(ExchangeTiming.period(8) <= 200.milliseconds)
    }
}
