package plantainturn.request.relay

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import plantainturn.version.configuration.ServiceName
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class NodeShareAllocatorTest {
    private val service = ServiceName("service")

    @Test
    fun `nodes that are partitioned, stop, restart and hand over never exceed the common limit`() {
        for (seed in 1..40) {
            val simulation = Simulation(Random(seed))
            simulation.steps(3_000)

            val windows = simulation.repetitions.distinct().map { from -> from..from + TERMS.window }
            val worst = windows.maxOf { window -> simulation.repetitions.count { it in window } }
            assertTrue(worst <= BOUND.fixed, "seed $seed: $worst repetitions in a window")
            assertTrue(worst > BOUND.fixed / 4, "seed $seed: at most $worst repetitions, too few to test the limit")
        }
    }

    @Test
    fun `nodes without faults get most of the repetitions`() {
        val simulation = Simulation(Random(1), withFaults = false)
        simulation.steps(400)

        assertTrue(simulation.totalFraction() > 0.7, "${simulation.totalFraction()} of all")
    }

    @Test
    fun `a restarted node gets a fraction before that of its predecessor has lapsed`() {
        val allocator = NodeShareAllocator(TERMS, allocatesFrom = at(0))
        report(allocator, (1..8).map { "node $it" }, until = 10_000)

        assertTrue(allocator.renew("node 1 again", 0.0, sequence = 0, at(10_100)) > 0.05)
    }

    @Test
    fun `a new holder confirms existing fractions, and gives more only when those of silent nodes have lapsed`() {
        val allocator = NodeShareAllocator(TERMS, allocatesFrom = at(21_000))

        assertEquals(0.2, allocator.renew("with", 0.2, sequence = 0, at(100)))
        assertEquals(0.0, allocator.renew("without", 0.0, sequence = 0, at(20_900)))
        assertTrue(allocator.renew("without", 0.0, sequence = 1, at(21_000)) > 0.2)
    }

    @Test
    fun `a report that arrives out of order does not free a fraction in use`() {
        val allocator = NodeShareAllocator(TERMS, allocatesFrom = at(0))
        val first = allocator.renew("first", 0.0, sequence = 0, at(0))
        allocator.renew("first", first, sequence = 2, at(200))
        repeat(8) { allocator.renew("other $it", 0.0, sequence = 0, at(300)) }

        val reduced = allocator.renew("first", 0.0, sequence = 1, at(400))
        val others = (0 until 8).sumOf { allocator.renew("other $it", 0.0, sequence = 1, at(500)) }

        assertTrue(reduced < first)
        assertTrue(first + others <= 1.0 + ROUNDING, "$first and $others")
    }

    private fun report(
        allocator: NodeShareAllocator,
        nodes: List<String>,
        until: Int,
    ) {
        val fractions = HashMap<String, Double>()
        for ((number, time) in (0..until step 200).withIndex()) {
            for (node in nodes) {
                fractions[node] = allocator.renew(node, fractions[node] ?: 0.0, number.toLong(), at(time))
            }
        }
    }

    /** Simulates nodes that repeat whenever they may, while at most one of them at a time allocates fractions. */
    private inner class Simulation(
        private val random: Random,
        private val withFaults: Boolean = true,
    ) {
        val repetitions = ArrayList<Moment>()
        private var now = at(0)
        private var started = 0
        private val nodes = MutableList(8) { Node() }
        private var holder: Holder? =
            Holder(
                nodes.first(),
                NodeShareAllocator(
                    TERMS,
                    at(0) + NodeShareAllocator.ABSENT_AFTER,
                ),
            )
        private var holderFrom = at(0)

        fun steps(count: Int) {
            repeat(count) {
                now += 100.milliseconds
                if (withFaults) injectFaults()
                nodes.filter { it.isolatedUntil <= now }.forEach(::exchange)
                nodes.forEach { it.repeatAll() }
            }
        }

        fun totalFraction(): Double = nodes.sumOf { it.share.fractionAt(now) }

        private fun injectFaults() {
            if (random.nextInt(100) == 0) nodes[random.nextInt(nodes.size)] = Node()
            if (random.nextInt(50) == 0) nodes.random(random).isolatedUntil = now + random.nextInt(20_000).milliseconds
            val current = holder
            if (current != null && (current.node !in nodes || random.nextInt(400) == 0)) {
                holder = null
                holderFrom = now + random.nextInt(3_000).milliseconds
            } else if (current == null && now >= holderFrom) {
                holder = Holder(nodes.random(random), NodeShareAllocator(TERMS, now + TERMS.reclaimAfter))
            }
        }

        private fun exchange(node: Node) {
            val current = holder ?: return
            if (current.node !== node && current.node.isolatedUntil > now) return
            val fraction = current.allocator.renew(node.name, node.share.maximumWithinWindow(now), node.sequence++, now)
            val answerIsLost = withFaults && random.nextInt(5) == 0
            if (!answerIsLost) node.share.confirm(fraction, now, now)
        }

        private inner class Node {
            val name = "node ${started++}"
            val share = NodeShare(TERMS)
            var sequence = 0L
            var isolatedUntil = Moment.ORIGIN
            private val allowance = RepetitionBudget(BOUND, share::fractionAt)

            fun repeatAll() {
                while (allowance.tryRepeat(service, now).granted) repetitions += now
            }
        }

        private inner class Holder(
            val node: Node,
            val allocator: NodeShareAllocator,
        )
    }

    private companion object {
        val TERMS = NodeShareTerms(window = 10.seconds)
        val BOUND = RepetitionSettings(ratio = 0.2, fixed = 56.0, window = TERMS.window, usedShare = 1.0)
        const val ROUNDING = 1e-9

        fun at(milliseconds: Int): Moment = Moment.ORIGIN + 1_000.seconds + milliseconds.milliseconds
    }
}
