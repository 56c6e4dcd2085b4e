package plantainturn.relay.node

import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against issue 24: requests that crash servers must be stopped at every node, without an issuer. */
class FatalRequestSimulationTest {
    @Test
    fun `a request that crashes servers is stopped at every node without an issuer`() {
        assertBounded { FatalRequestSimulation(it, requests = 1) }
    }

    @Test
    fun `ten fatal requests at the same time are all stopped`() {
        assertBounded { FatalRequestSimulation(it, requests = 10) }
    }

    @Test
    fun `requests that crash servers without closing connections are stopped`() {
        assertBounded { FatalRequestSimulation(it, requests = 5, silentCrashes = true) }
    }

    @Test
    fun `restarted nodes learn which requests are stopped`() {
        assertBounded { FatalRequestSimulation(it, requests = 3, silentCrashes = true, restarts = true) }
    }

    @Test
    fun `fatal requests are stopped during outages`() {
        assertBounded { FatalRequestSimulation(it, requests = 5, restarts = true, outages = true) }
    }

    /** Guards against trials that end more servers than the platform allows. */
    @Test
    fun `a fatal request is bounded over its trials and restarts of nodes`() {
        for (answeredBefore in listOf(false, true)) {
            assertBounded(LONG_SECONDS) {
                FatalRequestSimulation(it, 2, silentCrashes = true, restarts = true, answeredBefore = answeredBefore)
            }
        }
    }

    @Test
    fun `harmless requests that broke off in an outage of two servers are still sent`() {
        val simulations = List(SEEDS) { FatalRequestSimulation(Random(it), requests = 2, outages = true) }
        simulations.forEach { it.run(SECONDS) }
        assertTrue(simulations.sumOf { it.interruptedHarmless } > 1_000)
        assertEquals(List(SEEDS) { 0 }, simulations.map { it.refusedHarmless })
    }

    private fun assertBounded(
        seconds: Int = SECONDS,
        simulation: (Random) -> FatalRequestSimulation,
    ) {
        val late = List(SEEDS) { simulation(Random(it)).apply { run(seconds) }.maximumLateSends }
        assertTrue(late.all { it <= MAXIMUM_LATE_SENDS }, "late sends by seed: $late")
    }

    private companion object {
        const val SEEDS = 30
        const val SECONDS = 40
        const val LONG_SECONDS = 500

        /** The sends of one request that the platform allows after the crash of its third server. */
        const val MAXIMUM_LATE_SENDS = 3
    }
}
