package plantainturn.request.relay

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PlaceQueueTest {
    private val queue = PlaceQueue<String>()
    private var now = Moment.ORIGIN + 100.seconds
    private var running = 0
    private val reportedAt = HashMap<String, Moment>()

    /** Guards against a brittle server that is rushed: a crowd at 76 nodes wants a server with 6 places. */
    @Test
    fun `no more requests are granted than there are places`() {
        repeat(76) { add("r$it", node = "n$it") }

        assertEquals(6, advance().count { it.granted })
        now += 100.milliseconds
        assertEquals(0, advance().count { it.granted }, "they are under way")
        assertTrue(queue.size <= 6, "those behind the next ones are denied at once")
    }

    @Test
    fun `what nodes report as running takes places, and a grant counts until its node reports`() {
        running = 5
        add("a", node = "n")
        assertTrue(advance().single().granted)
        now += 200.milliseconds
        reportedAt["n"] = now
        running = 6
        add("b")
        assertEquals(emptyList(), advance())
        running = 5

        assertTrue(advance().single().granted)
    }

    @Test
    fun `a short request gives its place back after the time that it should take`() {
        repeat(6) { add("r$it", hold = 50.milliseconds) }
        advance()
        add("next")
        now += 49.milliseconds
        assertEquals(emptyList(), advance())
        now += 1.milliseconds

        assertTrue(advance().single().granted)
    }

    @Test
    fun `the most urgent request in time goes first`() {
        running = 6
        add("late", inTime = -1.milliseconds)
        add("patient", urgency = 2)
        add("urgent", urgency = 1)
        advance()
        running = 5

        assertEquals("urgent", advance().single { it.granted }.identifier)
    }

    @Test
    fun `after a refusal fewer places are used for a while`() {
        add("a", refusals = 1)
        repeat(10) { add("r$it") }
        assertEquals(4, advance().count { it.granted })
        now += 10.seconds
        queue.clear()
        repeat(10) { add("s$it") }

        assertEquals(6, advance().count { it.granted })
    }

    @Test
    fun `a request that has waited for too long is denied`() {
        running = 6
        add("a", patience = 100.milliseconds)
        assertEquals(emptyList(), advance())
        now += 100.milliseconds

        assertFalse(advance().single().granted)
    }

    @Suppress("LongParameterList")
    private fun add(
        identifier: String,
        node: String = "n",
        urgency: Int = 1,
        inTime: Duration = 1.seconds,
        patience: Duration = 2.seconds,
        hold: Duration = 1.seconds,
        refusals: Int = 0,
    ): Unit =
        queue.add(
            identifier,
            node,
            PermitRequest(urgency, now + inTime, now + patience, places = 6, hold, refusals),
            now,
        )

    private fun advance(): List<PermitOutcome<String>> = queue.advance(6, running, now) { reportedAt[it] }
}
