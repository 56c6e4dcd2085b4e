package plantainturn.version.placement

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import plantainturn.version.configuration.ModelName
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class DemandPlannerPropertyTest {
    @Property(seed = "501", tries = 200)
    fun `memory is never exceeded and every model is reached through losses`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val fleet = fleet(random, engineMegabytes = 40)
        repeat(25) { round ->
            fleet.step()
            assertFalse(fleet.overcommitted())
            if (round == 12) fleet.fail("u${random.nextInt(4)}")
        }
        names(fleet).forEach { assertTrue(fleet.domainsOf(it).isNotEmpty(), "$it is nowhere") }
    }

    @Property(seed = "502", tries = 200)
    fun `the floor covers as many models as an exhaustive search where memory is ample`(
        @ForAll seed: Long,
    ) {
        val fleet = fleet(Random(seed), engineMegabytes = 40)
        repeat(12) { fleet.step() }
        assertEquals(exhaustiveFloor(fleet, engineMegabytes = 40), floor(fleet))
    }

    @Property(seed = "503", tries = 200)
    fun `the floor comes within one model of an exhaustive search where memory is short`(
        @ForAll seed: Long,
    ) {
        val fleet = fleet(Random(seed), engineMegabytes = 16)
        repeat(16) { fleet.step() }
        val best = exhaustiveFloor(fleet, engineMegabytes = 16)
        assertTrue(floor(fleet) >= best - 1, "${floor(fleet)} of $best")
    }

    @Property(seed = "504", tries = 100)
    fun `the order of the input does not matter`(
        @ForAll seed: Long,
    ) {
        val fleet = fleet(Random(seed), engineMegabytes = 24)
        repeat(3) {
            assertEquals(DemandPlanner().plan(fleet.input()), DemandPlanner().plan(fleet.input(reversed = true)))
            fleet.step()
        }
    }

    private fun fleet(
        random: Random,
        engineMegabytes: Long,
    ): PlacementSamples {
        val models = List(2 + random.nextInt(4)) { 4L + random.nextInt(5) }
        return PlacementSamples.of(models, List(4) { DOMAINS[it % DOMAINS.size] to engineMegabytes })
    }

    private fun names(fleet: PlacementSamples): Set<ModelName> = fleet.configuration.models.keys

    private fun floor(fleet: PlacementSamples): Int = names(fleet).count { fleet.domainsOf(it).size >= 2 }

    /** The most models that can have two copies in different domains while every model has one, by trying all ways. */
    private fun exhaustiveFloor(
        fleet: PlacementSamples,
        engineMegabytes: Long,
    ): Int {
        val sizes =
            fleet.configuration.models.values
                .map { it.memoryMegabytes }
        return mostWithTwo(sizes, LongArray(4) { engineMegabytes })
    }

    private fun mostWithTwo(
        sizes: List<Long>,
        free: LongArray,
    ): Int {
        val size = sizes.firstOrNull() ?: return 0
        var best = IMPOSSIBLE
        for (first in free.indices) {
            if (free[first] < size) continue
            free[first] -= size
            best = maxOf(best, mostWithTwo(sizes.drop(1), free))
            for (second in first + 1 until free.size) {
                if (free[second] < size || DOMAINS[first % DOMAINS.size] == DOMAINS[second % DOMAINS.size]) continue
                free[second] -= size
                best = maxOf(best, 1 + mostWithTwo(sizes.drop(1), free))
                free[second] += size
            }
            free[first] += size
        }
        return best
    }

    private companion object {
        val DOMAINS = listOf("a", "b", "c")
        const val IMPOSSIBLE = -1000
    }
}
