package plantainturn.request.relay

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import plantainturn.version.configuration.ServiceName
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RepetitionShareAllocatorTest {
    private val service = ServiceName("service")

    @Test
    fun `nodes that are cut off, end, start again and hand over never repeat more than all may together`() {
        for (seed in 1..40) {
            val run = Run(Random(seed))
            run.steps(3_000)

            val windows = run.repetitions.distinct().map { from -> from..from + TERMS.window }
            val worst = windows.maxOf { window -> run.repetitions.count { it in window } }
            assertTrue(worst <= BOUND.fixed, "seed $seed: $worst repetitions in a window")
            assertTrue(worst > BOUND.fixed / 4, "seed $seed: $worst repetitions at most, so that little was tried")
        }
    }

    @Test
    fun `calm nodes get most of what all may repeat`() {
        val run = Run(Random(1), troubled = false)
        run.steps(400)

        assertTrue(run.sharesInForce() > 0.7, "${run.sharesInForce()} of all")
    }

    @Test
    fun `a node that starts again gets a part before the one of its predecessor has lapsed`() {
        val shares = RepetitionShareAllocator(TERMS, settledFrom = at(0))
        report(shares, (1..8).map { "node $it" }, until = 10_000)

        assertTrue(shares.renew("node 1 again", 0.0, sequence = 0, at(10_100)) > 0.05)
    }

    @Test
    fun `a new holder confirms what nodes have, and gives more only when all that are silent have lapsed`() {
        val shares = RepetitionShareAllocator(TERMS, settledFrom = at(21_000))

        assertEquals(0.2, shares.renew("with", 0.2, sequence = 0, at(100)))
        assertEquals(0.0, shares.renew("without", 0.0, sequence = 0, at(20_900)))
        assertTrue(shares.renew("without", 0.0, sequence = 1, at(21_000)) > 0.2)
    }

    @Test
    fun `a report that was overtaken does not free a part that is in use`() {
        val shares = RepetitionShareAllocator(TERMS, settledFrom = at(0))
        val first = shares.renew("first", 0.0, sequence = 0, at(0))
        shares.renew("first", first, sequence = 2, at(200))
        repeat(8) { shares.renew("other $it", 0.0, sequence = 0, at(300)) }

        val shrunk = shares.renew("first", 0.0, sequence = 1, at(400))
        val others = (0 until 8).sumOf { shares.renew("other $it", 0.0, sequence = 1, at(500)) }

        assertTrue(shrunk < first)
        assertTrue(first + others <= 1.0 + ROUNDING, "$first and $others")
    }

    private fun report(
        shares: RepetitionShareAllocator,
        nodes: List<String>,
        until: Int,
    ) {
        val held = HashMap<String, Double>()
        for ((number, time) in (0..until step 200).withIndex()) {
            for (node in nodes) {
                held[node] = shares.renew(node, held[node] ?: 0.0, number.toLong(), at(time))
            }
        }
    }

    /** Nodes that repeat whenever they may, while at most one at a time has the duty of dividing. */
    private inner class Run(
        private val random: Random,
        private val troubled: Boolean = true,
    ) {
        val repetitions = ArrayList<Moment>()
        private var now = at(0)
        private var started = 0
        private val nodes = MutableList(8) { Node() }
        private var holder: Holder? =
            Holder(
                nodes.first(),
                RepetitionShareAllocator(
                    TERMS,
                    at(0) + RepetitionShareAllocator.ABSENT_AFTER,
                ),
            )
        private var holderFrom = at(0)

        fun steps(count: Int) {
            repeat(count) {
                now += 100.milliseconds
                if (troubled) trouble()
                nodes.filter { it.cutUntil <= now }.forEach(::exchange)
                nodes.forEach { it.repeatAll() }
            }
        }

        fun sharesInForce(): Double = nodes.sumOf { it.share.fractionAt(now) }

        private fun trouble() {
            if (random.nextInt(100) == 0) nodes[random.nextInt(nodes.size)] = Node()
            if (random.nextInt(50) == 0) nodes.random(random).cutUntil = now + random.nextInt(20_000).milliseconds
            val present = holder
            if (present != null && (present.node !in nodes || random.nextInt(400) == 0)) {
                holder = null
                holderFrom = now + random.nextInt(3_000).milliseconds
            } else if (present == null && now >= holderFrom) {
                holder = Holder(nodes.random(random), RepetitionShareAllocator(TERMS, now + TERMS.reclaimAfter))
            }
        }

        private fun exchange(node: Node) {
            val present = holder ?: return
            if (present.node !== node && present.node.cutUntil > now) return
            val part = present.shares.renew(node.name, node.share.maximumWithinWindow(now), node.sequence++, now)
            val answerIsLost = troubled && random.nextInt(5) == 0
            if (!answerIsLost) node.share.confirm(part, now, now)
        }

        private inner class Node {
            val name = "node ${started++}"
            val share = RepetitionShare(TERMS)
            var sequence = 0L
            var cutUntil = Moment.ORIGIN
            private val allowance = RepetitionBudget(BOUND, share::fractionAt)

            fun repeatAll() {
                while (allowance.tryRepeat(service, now).granted) repetitions += now
            }
        }

        private inner class Holder(
            val node: Node,
            val shares: RepetitionShareAllocator,
        )
    }

    private companion object {
        val TERMS = RepetitionShareTerms(window = 10.seconds)
        val BOUND = RepetitionSettings(ratio = 0.2, fixed = 56.0, window = TERMS.window, usedShare = 1.0)
        const val ROUNDING = 1e-9

        fun at(milliseconds: Int): Moment = Moment.ORIGIN + 1_000.seconds + milliseconds.milliseconds
    }
}
