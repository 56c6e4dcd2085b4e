package plantainturn.request.quarantine

import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class QuarantineAlarmTest {
    @Test
    fun `upstreams that die by themselves under many requests cause few false alarms`() {
        val fleets = fleets(poison = false)
        assertFewFalseAlarms(fleets)
    }

    @Test
    fun `a poisonous request kills two upstreams although it is sent to every node again and again`() {
        val fleets = fleets(poison = true)
        assertEquals(List(SEEDS) { 2 }, fleets.map { it.killed })
        assertFewFalseAlarms(fleets)
    }

    /** Deaths that the poisonous request caused count too, since innocent requests were running there as well. */
    private fun assertFewFalseAlarms(fleets: List<CrashingFleet>) {
        val deaths = fleets.sumOf { it.naturalDeaths + it.killed }
        val falseAlarms = fleets.sumOf { it.falseAlarms }
        assertTrue(deaths > 50 && falseAlarms * 15 <= deaths, "$falseAlarms false alarms at $deaths deaths")
    }

    private fun fleets(poison: Boolean): List<CrashingFleet> =
        (1..SEEDS).map { CrashingFleet(Random(it), poison, naturalDeathSeconds = 60).apply { run(STEPS) } }

    private companion object {
        const val SEEDS = 20
        const val STEPS = 3_000
    }
}
