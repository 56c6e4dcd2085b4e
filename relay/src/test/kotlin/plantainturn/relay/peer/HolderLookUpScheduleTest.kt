package plantainturn.relay.peer

import org.junit.jupiter.api.Test
import plantainturn.process.control.lease.StoreLease
import plantainturn.process.time.Moment
import kotlin.random.Random
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a reading of the lease every 400 ms by each node while a dead issuer has no successor, and against a
 * successor that is found late.
 */
class HolderLookUpScheduleTest {
    private val dead = StoreLease.HolderRecord("a", "127.0.0.1:1", 1)

    @Test
    fun `nodes find the successor of a dead holder in time with few readings, at any number of nodes`() {
        for (nodes in listOf(8, 20, 80, 300)) {
            val found = List(nodes) { find(Random(it)) }
            val readings = found.sumOf { it.readings }.toDouble() / nodes
            assertTrue(readings <= 3.0, "$nodes nodes: $readings readings per node")
            assertTrue(found.all { it.after <= 800.milliseconds }, "$nodes nodes: ${found.maxOf { it.after }}")
        }
    }

    @Test
    fun `a holder that answers that it does not issue is looked up again soon`() {
        val schedule = HolderLookUpSchedule(CONTENDER_WAIT, Random(1))
        assertTrue(schedule.takeDue(null, Moment.ORIGIN))
        assertTrue(schedule.takeDue(null, Moment.ORIGIN + 400.milliseconds))
    }

    private class Found(
        val readings: Int,
        val after: kotlin.time.Duration,
    )

    /** Returns how a node finds a successor that takes over when a contender may, from its first reading on. */
    private fun find(random: Random): Found {
        val schedule = HolderLookUpSchedule(CONTENDER_WAIT, random)
        val takenOver = Moment.ORIGIN + CONTENDER_WAIT + 50.milliseconds
        var readings = 0
        var now = Moment.ORIGIN
        while (now < Moment.ORIGIN + 10.seconds) {
            if (schedule.takeDue(dead, now)) {
                readings++
                if (now >= takenOver) return Found(readings, now - takenOver)
            }
            now += EXCHANGE_PERIOD
        }
        return Found(readings, 10.seconds)
    }

    private companion object {
        val CONTENDER_WAIT = 1_600.milliseconds
        val EXCHANGE_PERIOD = 200.milliseconds
    }
}
