package plantainturn.replay

import org.junit.jupiter.api.Test
import java.nio.file.Path
import kotlin.io.path.createTempFile
import kotlin.io.path.writeText
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class ReplayRunnerTest {
    private fun replay(
        trace: String,
        policy: PolicyName,
        faults: FaultSelection = FaultSelection.NONE,
    ): ReplayReport {
        val file = Path.of(checkNotNull(javaClass.getResource("/traces/$trace")).toURI())
        val options = ReplayOptions(DeploymentName.HAMASAKI, 1, policy, faults, file)
        return assertIs<ReplayResult.Completed>(ReplayRunner().run(options)).report
    }

    @Test
    fun `a calm minute is attained in full without a move under every policy`() {
        PolicyName.entries.forEach { policy ->
            val report = replay("calm.jsonl", policy)
            assertEquals(120, report.requests)
            assertEquals(120, report.attained, "$policy")
            assertEquals(0, report.moves, "$policy")
        }
    }

    @Test
    fun `a hot model is attained more often than under either other policy`() {
        val product = replay("hot-model.jsonl", PolicyName.PLANTAINTURN)
        listOf(PolicyName.NAIVE, PolicyName.STATIC).forEach { policy ->
            assertTrue(product.attained > replay("hot-model.jsonl", policy).attained, "$policy")
        }
    }

    @Test
    fun `a call that is sent again runs once, and twice without claims`() {
        assertEquals(0, replay("sent-again.jsonl", PolicyName.PLANTAINTURN).duplicateExecutions)
        assertEquals(20, replay("sent-again.jsonl", PolicyName.NAIVE).duplicateExecutions)
    }

    @Test
    fun `equal options give equal reports`() {
        val reports = List(2) { replay("hot-model.jsonl", PolicyName.PLANTAINTURN, FaultSelection.ALL) }
        assertEquals(reports[0], reports[1])
    }

    @Test
    fun `memory is never overcommitted under all faults`() {
        PolicyName.entries.forEach { policy ->
            assertEquals(0, replay("hot-model.jsonl", policy, FaultSelection.ALL).overcommits, "$policy")
        }
    }

    @Test
    fun `every faulty line of a trace is named`() {
        val file = createTempFile()
        file.writeText("{}\n\nnot JSON\n")
        val result = ReplayRunner().run(ReplayOptions(DeploymentName.HAMASAKI, traceFile = file))
        val faults = assertIs<ReplayResult.BadTrace>(result).faults
        assertEquals(listOf("line 1", "line 3"), faults.map { it.substringBefore(':') })
    }
}
