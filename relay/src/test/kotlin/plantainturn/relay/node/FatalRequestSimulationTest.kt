package plantainturn.relay.node

import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Issue 24: requests under which servers end are stopped everywhere without an issuer. */
class FatalRequestSimulationTest {
    @Test
    fun `a request whose servers end is stopped at every node without an issuer`() {
        assertBounded { FatalRequestSimulation(it, requests = 1) }
    }

    @Test
    fun `ten such requests at once are all stopped`() {
        assertBounded { FatalRequestSimulation(it, requests = 10) }
    }

    @Test
    fun `requests under which servers go silentCrashes are stopped`() {
        assertBounded { FatalRequestSimulation(it, requests = 5, silentCrashes = true) }
    }

    @Test
    fun `nodes that start again learn which requests are stopped`() {
        assertBounded { FatalRequestSimulation(it, requests = 3, silentCrashes = true, restarts = true) }
    }

    @Test
    fun `such requests are stopped beside outages`() {
        assertBounded { FatalRequestSimulation(it, requests = 5, restarts = true, outages = true) }
    }

    @Test
    fun `innocent requests that were struck by an outage of two servers are sent on`() {
        val simulations = List(SEEDS) { FatalRequestSimulation(Random(it), requests = 2, outages = true) }
        simulations.forEach { it.run(SECONDS) }
        assertTrue(simulations.sumOf { it.interruptedHarmless } > 1_000)
        assertEquals(List(SEEDS) { 0 }, simulations.map { it.refusedHarmless })
    }

    private fun assertBounded(simulation: (Random) -> FatalRequestSimulation) {
        val late = List(SEEDS) { simulation(Random(it)).apply { run(SECONDS) }.maximumLateSends }
        assertTrue(late.all { it <= MAXIMUM_LATE_SENDS }, "late sends by seed: $late")
    }

    private companion object {
        const val SEEDS = 30
        const val SECONDS = 40

        /** What the platform allows of one request after its third server. */
        const val MAXIMUM_LATE_SENDS = 3
    }
}
