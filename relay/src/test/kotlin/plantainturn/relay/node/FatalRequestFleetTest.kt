package plantainturn.relay.node

import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Issue 24: requests under which servers end are stopped everywhere without an issuer. */
class FatalRequestFleetTest {
    @Test
    fun `a request whose servers end is stopped at every node without an issuer`() {
        assertBounded { FatalRequestFleet(it, requests = 1) }
    }

    @Test
    fun `ten such requests at once are all stopped`() {
        assertBounded { FatalRequestFleet(it, requests = 10) }
    }

    @Test
    fun `requests under which servers go dark are stopped`() {
        assertBounded { FatalRequestFleet(it, requests = 5, dark = true) }
    }

    @Test
    fun `nodes that start again learn which requests are stopped`() {
        assertBounded { FatalRequestFleet(it, requests = 3, dark = true, restarts = true) }
    }

    @Test
    fun `such requests are stopped beside outages`() {
        assertBounded { FatalRequestFleet(it, requests = 5, restarts = true, outages = true) }
    }

    @Test
    fun `innocent requests that were struck by an outage of two servers are sent on`() {
        val fleets = List(SEEDS) { FatalRequestFleet(Random(it), requests = 2, outages = true) }
        fleets.forEach { it.run(SECONDS) }
        assertTrue(fleets.sumOf { it.struckInnocents } > 1_000)
        assertEquals(List(SEEDS) { 0 }, fleets.map { it.refusedInnocents })
    }

    private fun assertBounded(fleet: (Random) -> FatalRequestFleet) {
        val late = List(SEEDS) { fleet(Random(it)).apply { run(SECONDS) }.mostLateSends }
        assertTrue(late.all { it <= MOST_LATE_SENDS }, "late sends by seed: $late")
    }

    private companion object {
        const val SEEDS = 30
        const val SECONDS = 40

        /** What the platform allows of one request after its third server. */
        const val MOST_LATE_SENDS = 3
    }
}
