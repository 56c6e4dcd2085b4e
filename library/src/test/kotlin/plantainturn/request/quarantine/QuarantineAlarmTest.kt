package plantainturn.request.quarantine

import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class QuarantineAlarmTest {
    @Test
    fun `upstreams that crash by themselves under many requests cause few false alarms`() {
        val fleets = fleets(poison = false)
        assertFewFalseAlarms(fleets)
    }

    @Test
    fun `a poison request crashes only two upstreams although it is sent to every node repeatedly`() {
        val fleets = fleets(poison = true)
        assertEquals(List(SEEDS) { 2 }, fleets.map { it.causedCrashes })
        assertFewFalseAlarms(fleets)
    }

    /** Counts the crashes that the poison request caused too, since harmless requests were in flight there as well. */
    private fun assertFewFalseAlarms(fleets: List<CrashingFleet>) {
        val crashes = fleets.sumOf { it.unrelatedCrashes + it.causedCrashes }
        val falseAlarms = fleets.sumOf { it.falseAlarms }
        assertTrue(crashes > 50 && falseAlarms * 15 <= crashes, "$falseAlarms false alarms at $crashes crashes")
    }

    private fun fleets(poison: Boolean): List<CrashingFleet> =
        (1..SEEDS).map { CrashingFleet(Random(it), poison, unrelatedCrashSeconds = 60).apply { run(STEPS) } }

    private companion object {
        const val SEEDS = 20
        const val STEPS = 3_000
    }
}
