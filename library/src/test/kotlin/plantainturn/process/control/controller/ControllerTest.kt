package plantainturn.process.control.controller

import org.junit.jupiter.api.Test
import plantainturn.process.control.ControlBench
import plantainturn.version.configuration.ModelName
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class ControllerTest {
    @Test
    fun `what the planner wants is loaded on upstreams of both kinds`() {
        listOf(true, false).forEach(::loadsWhatThePlannerWants)
    }

    private fun loadsWhatThePlannerWants(refusesOldFences: Boolean) {
        val bench = ControlBench()
        val engine = bench.engine("a", 100, refusesOldFences)
        bench.model("m", 60)
        bench.node("n1")
        bench.run(30.seconds)
        assertTrue(engine.isReady(ModelName("m")))
    }

    @Test
    fun `one of three nodes holds the lease`() {
        val bench = ControlBench()
        val nodes = (1..3).map { bench.node("n$it") }
        bench.run(30.seconds)
        assertEquals(1, nodes.count { it.keeper.lease != null })
    }
}
