package plantainturn.relay.peer

import org.junit.jupiter.api.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

class ExchangeTimingTest {
    @Test
    fun `the total rate of exchanges is bounded for any number of nodes`() {
        for (nodes in listOf(8, 30, 95, 300, 1_000)) {
            val perSecond = nodes / ExchangeTiming.period(nodes).toDouble(DurationUnit.SECONDS)
            assertTrue(perSecond <= 251, "$nodes nodes: $perSecond exchanges per second")
        }
    }

    @Test
    fun `two lost exchanges exceed neither the timeout of the issuer nor that of a node`() {
        for (nodes in listOf(1, 8, 30, 95, 300, 1_000)) {
            val twoLost = ExchangeTiming.period(nodes) * 3
            assertTrue(ExchangeTiming.issuerTimeout(nodes) > twoLost, "$nodes nodes")
            assertTrue(ExchangeTiming.nodeTimeout(nodes) > twoLost, "$nodes nodes")
        }
    }

    @Test
    fun `a small number of nodes exchanges often`() {
        assertTrue(ExchangeTiming.period(8) <= 200.milliseconds)
    }
}
