package plantainturn.process.control.controller

import org.junit.jupiter.api.Test
import plantainturn.process.control.ControlBench
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ControllerTest {
    @Test
    fun `planned models are loaded on upstreams that refuse old fences and on those that ignore them`() {
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

    @Test
    fun `a planned stop hands over the lease immediately`() {
        val bench = ControlBench()
        val first = bench.node("n1")
        bench.run(15.seconds)
        val second = bench.node("n2")
        bench.run(1.seconds)
        first.controller.stop()
        bench.run(1.seconds)
        assertNull(first.keeper.lease)
        assertNotNull(second.keeper.lease)
    }

    @Test
    fun `a leaving upstream gets no load`() {
        val bench = ControlBench()
        val leaving = bench.engine("a", 200)
        val staying = bench.engine("b", 100)
        bench.leaving += UpstreamName("a")
        bench.model("m", 60)
        bench.node("n1")
        bench.run(20.seconds)
        assertEquals(0, leaving.usedMegabytes)
        assertTrue(staying.isReady(ModelName("m")))
    }

    @Test
    fun `during a log outage orders are sent only to upstreams that refuse old fences`() {
        val bench = ControlBench()
        val refusing = bench.engine("a", 100, refusesOldFences = true)
        val ignoring = bench.engine("b", 200, refusesOldFences = false)
        bench.node("n1")
        bench.run(15.seconds)
        bench.log.unavailable = true
        bench.run(15.seconds)
        bench.model("m", 60)
        bench.run(10.seconds)
        assertTrue(refusing.isReady(ModelName("m")))
        assertEquals(0, ignoring.usedMegabytes)
    }

    @Test
    fun `a new weights version is loaded beside the old one`() {
        val bench = ControlBench()
        val engine = bench.engine("a", 100)
        bench.model("m", 40)
        bench.node("n1")
        bench.run(20.seconds)
        bench.model("m", 40, version = "2")
        repeat(40) {
            bench.run(250.milliseconds)
            assertTrue(engine.isReady(ModelName("m")))
        }
        assertEquals(listOf("2"), engine.versionsOf(ModelName("m")))
    }

    @Test
    fun `a single copy is not unloaded when there is no memory for both versions`() {
        val bench = ControlBench()
        val engine = bench.engine("a", 100)
        bench.model("m", 60)
        bench.node("n1")
        bench.run(20.seconds)
        bench.model("m", 60, version = "2")
        bench.run(10.seconds)
        assertEquals(listOf("1"), engine.versionsOf(ModelName("m")))
    }
}
