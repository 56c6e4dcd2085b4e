package plantainturn.request.quarantine

import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class QuarantineAlarmTest {
    @Test
    fun `upstreams that die by themselves under many requests cause few false alarms`() {
        val fleets = fleets(poison = false)
        val deaths = fleets.sumOf { it.naturalDeaths }
        val falseAlarms = fleets.sumOf { it.falseAlarms }
        assertTrue(deaths > 20 && falseAlarms * 10 <= deaths, "$falseAlarms false alarms at $deaths deaths")
    }

    @Test
    fun `a poisonous request kills two upstreams although it is sent to every node again and again`() {
        val fleets = fleets(poison = true)
        assertEquals(List(SEEDS) { 2 }, fleets.map { it.killed })
        val deaths = fleets.sumOf { it.naturalDeaths }
        val falseAlarms = fleets.sumOf { it.falseAlarms }
        assertTrue(falseAlarms * 10 <= deaths, "$falseAlarms false alarms at $deaths deaths")
    }

    private fun fleets(poison: Boolean): List<CrashingFleet> =
        (1..SEEDS).map { CrashingFleet(Random(it), poison, naturalDeathSeconds = 60).apply { run(STEPS) } }

    private companion object {
        const val SEEDS = 10
        const val STEPS = 3_000
    }
}
