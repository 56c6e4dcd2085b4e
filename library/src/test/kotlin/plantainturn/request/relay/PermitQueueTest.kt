package plantainturn.request.relay

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PermitQueueTest {
    private val queue = PermitQueue<String>(at(0))

    /** Load pattern: many nodes want one instance, at once or unevenly, while its limit moves. */
    @Test
    fun `however many nodes ask, a limit is used up and not exceeded`() {
        for (nodes in listOf(8, 17, 95, 330)) {
            for (limit in listOf(0.4, 1.6, 12.0)) {
                val granted = grantsOf(nodes, limit, Random(nodes))

                val worst = granted.maxOf { from -> granted.count { it >= from && it < from + 4.seconds } }
                assertTrue(worst <= 4 * limit + 2, "$nodes nodes, $limit a second: $worst in 4 s")
                assertTrue(
                    granted.size >= 0.9 * (limit * SECONDS - 1),
                    "$nodes nodes, $limit a second: ${granted.size}",
                )
            }
        }
    }

    @Test
    fun `permits that nobody wants do not accumulate`() {
        repeat(5) { queue.add("$it", request(latest = 60_500)) }

        assertEquals(listOf("0"), granted(rate = 1.0, at = 60_000))
    }

    @Test
    fun `requests in time go first, then urgent ones, then those that wait longest`() {
        queue.add("late", request(urgency = 0, inTimeUntil = 50))
        queue.add("batch", request(urgency = 3))
        queue.add("first", request(urgency = 1))
        queue.add("second", request(urgency = 1))

        assertEquals(listOf("first"), granted(rate = 1.0, at = 1_100))
        assertEquals(listOf("second"), granted(rate = 1.0, at = 2_200))
        assertEquals(listOf("batch"), granted(rate = 1.0, at = 3_300))
        assertEquals(listOf("late"), granted(rate = 1.0, at = 4_400))
    }

    @Test
    fun `a request whose turn would come too late is told at once when a permit is free behind the others`() {
        queue.add("a", request(latest = 1_500))
        queue.add("b", request(latest = 1_500))

        val outcome = queue.advance(1.0, at(100)).single()

        assertEquals("b", outcome.identifier)
        assertTrue(!outcome.granted && outcome.wait in 1_900.milliseconds..2_100.milliseconds, "$outcome")
    }

    @Test
    fun `an urgent request displaces one that then comes too late`() {
        queue.add("batch", request(urgency = 3, latest = 1_500))
        assertEquals(emptyList(), queue.advance(1.0, at(100)))
        queue.add("urgent", request(urgency = 0, latest = 1_500))

        assertEquals(listOf("batch"), queue.advance(1.0, at(200)).filterNot { it.granted }.map { it.identifier })
        assertEquals(listOf("urgent"), granted(rate = 1.0, at = 1_100))
    }

    @Test
    fun `a denied request is told of the permits of those only that go before it`() {
        queue.add("batch", request(urgency = 3, latest = 9_000))
        queue.add("urgent", request(urgency = 0, latest = 200))

        val outcome = queue.advance(1.0, at(100)).single()

        assertEquals("urgent", outcome.identifier)
        assertTrue(outcome.wait in 900.milliseconds..1_000.milliseconds, "$outcome")
    }

    @Test
    fun `all who wait may send when the limit is lifted`() {
        queue.add("a", request())
        queue.add("b", request())

        assertEquals(listOf("a", "b"), granted(rate = null, at = 100))
    }

    @Test
    fun `a request waits for its objective, or for the next permit if that is later`() {
        assertEquals(800.milliseconds, PermitRequest.patience(800.milliseconds, 3.seconds, requestsPerSecond = 4.0))
        assertEquals(1.seconds, PermitRequest.patience((-1).seconds, 3.seconds, requestsPerSecond = 1.0))
        assertEquals(500.milliseconds, PermitRequest.patience(1.seconds, 1.seconds, requestsPerSecond = 0.4))
    }

    private fun grantsOf(
        nodes: Int,
        limit: Double,
        random: Random,
    ): List<Moment> {
        val contended = PermitQueue<Int>(at(0))
        val grants = ArrayList<Moment>()
        for (time in 0..SECONDS * 1_000 step 5) {
            val arrivals =
                when (random.nextInt(200)) {
                    0 -> nodes
                    in 1..20 -> 1 + nodes / 16
                    else -> 0
                }
            repeat(arrivals) {
                val inTime = time + random.nextInt(600)
                contended.add(random.nextInt(nodes), request(random.nextInt(4), inTime, inTime + 3_000))
            }
            contended.advance(limit, at(time)).filter { it.granted }.forEach { _ -> grants += at(time) }
        }
        return grants
    }

    private fun granted(
        rate: Double?,
        at: Int,
    ): List<String> = queue.advance(rate, at(at)).filter { it.granted }.map { it.identifier }

    private fun request(
        urgency: Int = 1,
        inTimeUntil: Int = 100_000,
        latest: Int = 100_000,
    ) = PermitRequest(urgency, at(inTimeUntil), at(latest))

    private companion object {
        const val SECONDS = 60

        fun at(milliseconds: Int): Moment = Moment.ORIGIN + 1_000.seconds + milliseconds.milliseconds
    }
}
