package plantainturn.relay.node

import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against issue 33: prompt parts that crash servers must be stopped at every node, and sound requests that share
 * other parts with them must be served.
 */
class PromptPartCrashSimulationTest {
    /** Counts sound requests in the time in which they are judged. */
    private class Judged {
        var sent = 0
        var served = 0

        fun onDone(answered: Boolean) {
            sent++
            if (answered) served++
        }
    }

    @Test
    fun `a part in the middle is stopped and its neighbours are not`() {
        assertStopped(fatal = listOf("bad")) { step ->
            if (step % 5 == 0) send("shared", "bad", "rare-${step % 7}")
            if (step % 70 == 0) send("shared", "rare-${step / 70 % 7}")
        }
    }

    @Test
    fun `the first part is stopped`() {
        assertStopped(fatal = listOf("bad")) { step -> if (step % 5 == 0) send("bad", "shared") }
    }

    @Test
    fun `two parts are stopped at the same time`() {
        assertStopped(fatal = listOf("bad", "worse")) { step ->
            if (step % 10 == 0) send("shared", "bad")
            if (step % 10 == 5) send("worse", "shared")
        }
    }

    @Test
    fun `a part is stopped while nodes start again and servers die by themselves`() {
        assertStopped(fatal = listOf("bad")) { step ->
            if (step % 10 == 0) send("shared", "bad")
            if (step % 20 == 3) crash(1)
            if (step % 30 == 7) restartNode()
        }
    }

    @Test
    fun `a part that comes ten times a second is stopped`() {
        assertStopped(fatal = listOf("bad")) { send("shared", "bad") }
    }

    @Test
    fun `a part is stopped at 95 and at 330 nodes that hear late`() {
        for (nodes in listOf(95, 330)) {
            assertStopped(
                fatal = listOf("bad"),
                seeds = 3,
                create = { PromptPartCrashSimulation(it, nodes, readPause = 1_300.milliseconds) },
            ) { step -> if (step % 5 == 0) send("shared", "bad") }
        }
    }

    @Test
    fun `a part is told from its neighbours although no request was answered before`() {
        for (soundPeriod in listOf(2, 5, 10)) {
            assertStopped(fatal = listOf("bad"), from = 0, soundPeriod = soundPeriod) { step ->
                if (step == 0) longestAnswer = 3.seconds
                if (step % 3 == 0) send("shared", "bad")
            }
        }
    }

    @Test
    fun `a part is stopped that was answered until then`() {
        for (seed in 0 until SEEDS) {
            val simulation = PromptPartCrashSimulation(Random(seed))
            simulation.run(SECONDS) { step ->
                if (step == 100) simulation.fatal += simulation.part("bad")
                if (step % 5 == 0) simulation.send("shared", "bad")
                simulation.send("shared")
            }
            val late = simulation.lateSends("bad")
            assertTrue(late <= MAXIMUM_LATE_SENDS, "seed $seed: $late of ${simulation.sends("bad")} sends are late")
        }
    }

    @Test
    fun `deaths of servers alone stop no requests`() {
        for (seed in 0 until SEEDS) {
            val simulation = PromptPartCrashSimulation(Random(seed))
            val judged = Judged()
            simulation.run(SECONDS) { step ->
                if (step % 13 == 0) simulation.crash(1)
                simulation.send("shared", "rare-${step % 50}", done = judged::onDone)
            }
            assertTrue(judged.served >= 0.9 * judged.sent, "seed $seed: ${judged.served} of ${judged.sent}")
        }
    }

    @Test
    fun `parts that broke off in storms of crashes come back`() {
        for (seed in 0 until SEEDS) {
            val simulation = PromptPartCrashSimulation(Random(seed))
            simulation.run(SECONDS) { step ->
                if (step % 30 == 2) simulation.crash(8)
                if (step % 3 == 0) simulation.send("shared", "rare-${step % 20}")
            }
            val judged = Judged()
            simulation.run(120) { step ->
                if (step % 3 == 0) {
                    simulation.send("shared", "rare-${step % 20}") { if (step > 1_000) judged.onDone(it) }
                }
            }
            assertEquals(judged.sent, judged.served, "seed $seed")
            val blocking = (0 until 20).sumOf { simulation.nodesThatBlock("rare-$it") }
            assertEquals(0, blocking + simulation.nodesThatBlock("shared"), "seed $seed")
        }
    }

    @Test
    fun `a stopped part is tried again ever more rarely`() {
        val simulation = PromptPartCrashSimulation(Random(1))
        simulation.fatal += simulation.part("bad")
        val sends = ArrayList<Int>()
        simulation.run(600) { step ->
            if (step % 5 == 0) simulation.send("shared", "bad")
            simulation.send("shared")
            if (step % 600 == 300) sends += simulation.sends("bad")
        }
        assertEquals(2, sends.last() - sends.first(), "trials after one and after five minutes: $sends")
    }

    /** Sends sound requests that share a part with those that [fault] sends, from the step [from] on. */
    private fun assertStopped(
        fatal: List<String>,
        seeds: Int = SEEDS,
        create: (Random) -> PromptPartCrashSimulation = { PromptPartCrashSimulation(it) },
        from: Int = 100,
        soundPeriod: Int = 1,
        fault: PromptPartCrashSimulation.(Int) -> Unit,
    ) {
        for (seed in 0 until seeds) {
            val simulation = create(Random(seed))
            fatal.forEach { simulation.fatal += simulation.part(it) }
            val judged = Judged()
            simulation.run(SECONDS) { step ->
                if (step >= from) simulation.fault(step)
                if (step % soundPeriod == 0) {
                    simulation.send("shared", "common-${step % 3}") { if (step > 250) judged.onDone(it) }
                }
            }
            for (part in fatal) {
                val late = simulation.lateSends(part)
                assertTrue(late <= MAXIMUM_LATE_SENDS, "seed $seed: $late of ${simulation.sends(part)} sends are late")
            }
            assertTrue(judged.served >= 0.8 * judged.sent, "seed $seed: ${judged.served} of ${judged.sent} served")
        }
    }

    private companion object {
        const val SEEDS = 20
        const val SECONDS = 50

        /** The sends that the platform allows, new ones and repetitions together. */
        const val MAXIMUM_LATE_SENDS = 3
    }
}
