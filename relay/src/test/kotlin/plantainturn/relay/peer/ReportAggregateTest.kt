package plantainturn.relay.peer

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import plantainturn.connection.log.LogOffset
import plantainturn.connection.store.StoreEra
import plantainturn.connection.store.StorePosition
import plantainturn.request.relay.WorkTotals
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class ReportAggregateTest {
    @Test
    fun `each node receives the work of all others`() {
        val reports =
            List(95) { report("n$it", "shared" to WorkTotals(2, 10, 20, 0.5), "own$it" to WorkTotals(1, 1, 1)) }
        val aggregate = ReportAggregate(reports.associateBy { it.node })

        val work = aggregate.workOfOthers("n7")

        assertEquals(WorkTotals(188, 940, 1_880, 47.0), work["shared"])
        assertEquals(null, work["own7"])
        assertEquals(WorkTotals(1, 1, 1), work["own8"])
    }

    @Test
    fun `a node without a report receives the work of all nodes`() {
        val aggregate = ReportAggregate(mapOf("a" to report("a", "x" to WorkTotals(1, 2, 3))))

        assertEquals(mapOf("x" to WorkTotals(1, 2, 3)), aggregate.workOfOthers("new"))
    }

    @Test
    fun `an end of a later era is later though its offset is lower`() {
        val restored = TopicEnds(position(5), StorePosition(StoreEra(2), LogOffset(3)), position(7))

        assertEquals(restored, ends(5, 90, 7).latest(restored))
        assertEquals(restored, restored.latest(ends(5, 90, 7)))
    }

    @Test
    fun `the longest suspicion and the latest ends are reported`() {
        val one = report("a").copy(suspects = mapOf("x" to 300), ends = ends(5, 90, 7))
        val two = report("b").copy(suspects = mapOf("x" to 900), ends = ends(6, 80, 8))
        val aggregate = ReportAggregate(mapOf("a" to one, "b" to two))

        assertEquals(mapOf("x" to 900L), aggregate.suspects)
        assertEquals(ends(6, 90, 8), aggregate.ends)
    }

    private fun ends(
        configuration: Long,
        instances: Long,
        breaks: Long,
    ) = TopicEnds(position(configuration), position(instances), position(breaks))

    /** Guards against bytes for quotas in deployments that have no accounts. */
    @Test
    fun `a report without accounts has no field for them`() {
        assertFalse("admitted" in Json.encodeToString(NodeReport.serializer(), report("a")))
    }

    private fun position(offset: Long) = StorePosition(StoreEra.FIRST, LogOffset(offset))

    private fun report(
        node: String,
        vararg work: Pair<String, WorkTotals>,
    ) = SAMPLE_REPORT.copy(node = node, work = work.toMap(), ends = ends(0, 0, 0))
}
