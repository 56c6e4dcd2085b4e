package plantainturn.request.admission

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import plantainturn.request.RequestPriority
import plantainturn.request.Samples
import plantainturn.version.configuration.TeamName
import kotlin.test.assertEquals

class PriorityRequestQueueTest {
    private val queue = PriorityRequestQueue<String>()

    @Test
    fun `interactive requests go first and batch requests are not starved`() {
        repeat(20) { add("interactive", "desk") }
        repeat(3) { add("batch", "desk", RequestPriority.BATCH) }
        val order = drain(23)
        assertEquals(listOf(8, 17, 22), order.indices.filter { order[it] == "batch" })
    }

    @Test
    fun `teams are served in proportion to their shares regardless of their request counts`() {
        repeat(100) { add("loud", "loud") }
        repeat(20) { add("quiet", "quiet") }
        repeat(20) { add("large", "large", share = 2) }
        val first = drain(40).groupingBy { it }.eachCount()
        assertEquals(mapOf("loud" to 10, "quiet" to 10, "large" to 20), first)
    }

    @Test
    fun `an idle team does not accumulate credit`() {
        repeat(50) { add("steady", "steady") }
        drain(30)
        repeat(20) { add("late", "late") }
        assertEquals(10, drain(20).count { it == "late" })
    }

    @Test
    fun `a resumed request goes ahead of the other requests of its team`() {
        add("first", "desk")
        add("resumed", "desk", resumed = true)
        assertEquals(listOf("resumed", "first"), drain(2))
    }

    @Test
    fun `requests ahead are those that would start first`() {
        repeat(16) { add("interactive", "desk") }
        repeat(5) { add("batch", "desk", RequestPriority.BATCH) }
        assertEquals(18, queue.requestsAhead(RequestPriority.INTERACTIVE))
        assertEquals(21, queue.requestsAhead(RequestPriority.BATCH))
    }

    private fun add(
        entry: String,
        team: String,
        priority: RequestPriority = RequestPriority.INTERACTIVE,
        share: Int = 1,
        resumed: Boolean = false,
    ) {
        val ticket = AdmissionTicket(Samples.model, TeamName(team), share, 100, priority, Moment.ORIGIN, resumed)
        queue.add(ticket, entry)
    }

    private fun drain(count: Int): List<String> = List(count) { checkNotNull(queue.peek()).also { queue.removeNext() } }
}
