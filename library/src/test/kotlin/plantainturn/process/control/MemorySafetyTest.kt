package plantainturn.process.control

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import plantainturn.version.configuration.ModelName
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class MemorySafetyTest {
    @Property(seed = "4101", tries = 1000, shrinking = ShrinkingMode.OFF)
    fun `memory is never overcommitted on upstreams that refuse old fences`(
        @ForAll seed: Long,
    ) = checkSafety(FaultyRun(seed, refusesOldFences = true))

    @Property(seed = "4102", tries = 1000, shrinking = ShrinkingMode.OFF)
    fun `memory is never overcommitted on upstreams that ignore fences`(
        @ForAll seed: Long,
    ) = checkSafety(FaultyRun(seed, refusesOldFences = false))

    @Property(seed = "4103", tries = 400, shrinking = ShrinkingMode.OFF)
    fun `an upstream that ignores fences gets no order under a superseded fence`(
        @ForAll seed: Long,
    ) {
        val run = FaultyRun(seed, refusesOldFences = false)
        run.runWithFaults(60.seconds)
        assertEquals(emptyList(), run.staleSends)
    }

    @Property(seed = "4104", tries = 400, shrinking = ShrinkingMode.OFF)
    fun `after the faults every model is ready and no order is outstanding`(
        @ForAll seed: Long,
        @ForAll refusesOldFences: Boolean,
    ) {
        val run = FaultyRun(seed, refusesOldFences)
        run.runWithFaults(40.seconds)
        run.recover(60.seconds)
        val holder = run.bench.nodes.single { it.keeper.lease != null }
        val state = holder.controller.state()
        assertEquals(emptyList(), state.ledgers.flatMap { it.orders })
        assertEquals(emptyList(), state.control.intents.toList())
        assertEquals(emptyList(), run.engines.flatMap { it.overcommits })
        for (index in FaultyRun.MODEL_MEGABYTES.indices) {
            assertTrue(run.engines.any { it.isReady(ModelName("m$index")) }, "m$index: $state")
        }
    }

    private fun checkSafety(run: FaultyRun) {
        run.runWithFaults(60.seconds)
        assertEquals(emptyList(), run.engines.flatMap { it.overcommits })
        assertTrue(run.engines.any { it.executedOrders.isNotEmpty() })
    }
}
