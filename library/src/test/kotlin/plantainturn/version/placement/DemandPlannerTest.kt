package plantainturn.version.placement

import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.api.Test
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.WeightStoreLimits
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class DemandPlannerTest {
    private val m0 = ModelName("m0")
    private val m1 = ModelName("m1")
    private val a0 = ModelName("a0")
    private val busy = ModelDemand(fastRequestsPerSecond = 20.0, slowRequestsPerSecond = 20.0, tokensPerRequest = 100.0)

    @Test
    fun `each model and adapter comes to two failure domains and then nothing moves`() {
        val fleet = PlacementSamples.of(listOf(10, 10), listOf("a" to 30L, "b" to 30L, "b" to 30L), adapters = 2)
        repeat(4) { fleet.step() }
        listOf(m0, m1, a0).forEach { assertEquals(setOf("a", "b"), fleet.domainsOf(it)) }
        assertTrue(fleet.step().moves.isEmpty())
    }

    @Test
    fun `the first copy of a model is an emergency and the second is not`() {
        val fleet = PlacementSamples.of(listOf(10), listOf("a" to 10L, "b" to 10L))
        val emergencies = List(2) { fleet.step().moves.map { (it as PlacementMove.Load).emergency } }
        assertEquals(listOf(listOf(true), listOf(false)), emergencies)
    }

    @Test
    fun `a lost model displaces the second copy of another one`() {
        val fleet = PlacementSamples.of(listOf(10, 10), listOf("a" to 10L, "b" to 10L))
        fleet.engine("u0").placements[m0] = PlacementState.READY
        fleet.engine("u1").placements[m0] = PlacementState.READY
        repeat(3) { fleet.step() }
        assertEquals(1, fleet.domainsOf(m0).size)
        assertEquals(1, fleet.domainsOf(m1).size)
    }

    @Test
    fun `copies on an upstream that takes no orders count and stay`() {
        val fleet = PlacementSamples.of(listOf(10), listOf("a" to 10L, "b" to 10L, "c" to 10L))
        repeat(2) { fleet.step() }
        fleet.engine("u0").acceptsOrders = false
        assertTrue(fleet.step().moves.isEmpty())
    }

    @Test
    fun `a hot model gets a replica and a cold fleet gets none`() {
        val fleet = PlacementSamples.of(listOf(10, 10), listOf("a" to 20L, "b" to 20L, "c" to 20L))
        repeat(3) { fleet.step() }
        assertTrue(fleet.step().moves.isEmpty())
        fleet.demand = persistentMapOf(m0 to busy)
        repeat(2) { fleet.step() }
        assertEquals(setOf("a", "b", "c"), fleet.domainsOf(m0))
    }

    @Test
    fun `a move that does not pay back is not made`() {
        val fleet = PlacementSamples.of(listOf(10), listOf("a" to 20L, "b" to 20L, "c" to 20L))
        repeat(3) { fleet.step() }
        fleet.demand = persistentMapOf(m0 to busy.copy(fastRequestsPerSecond = 8.97, slowRequestsPerSecond = 8.97))
        assertTrue(fleet.step().moves.isEmpty())
    }

    @Test
    fun `loads keep to the weight store's limits`() {
        val limits = WeightStoreLimits(loadsPerSecond = 2.0, concurrentLoads = 3)
        val fleet = PlacementSamples.of(List(6) { 1L }, listOf("a" to 20L, "b" to 20L), limits = limits)
        val begun = List(3) { fleet.step(carriedOut = true).moves.size }
        assertEquals(listOf(1, 2, 2), begun)
    }

    @Test
    fun `what the configuration no longer names is unloaded`() {
        val fleet = PlacementSamples.of(listOf(10), listOf("a" to 20L, "b" to 20L))
        repeat(2) { fleet.step() }
        val upstreams = fleet.input().upstreams
        val stray =
            upstreams.getValue(UpstreamName("u0")).let {
                it.copy(placements = it.placements.put(m1, PlacementState.READY))
            }
        val plan = DemandPlanner().plan(fleet.input().copy(upstreams = upstreams.put(UpstreamName("u0"), stray)))
        assertEquals(listOf(m1), plan.moves.map { (it as PlacementMove.Unload).name })
    }

    @Test
    fun `every model is explained and every move has a reason`() {
        val fleet = PlacementSamples.of(listOf(10, 10), listOf("a" to 30L, "b" to 30L), adapters = 1)
        val plan = fleet.step()
        assertEquals(setOf(m0, m1, a0), plan.explanations.keys)
        assertFalse(plan.moves.any { it.reason.isBlank() })
    }
}
