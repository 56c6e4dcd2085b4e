package plantainturn.daemon.command

import org.junit.jupiter.api.Test
import plantainturn.process.ResultCode
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class CodesCommandTest {
    @Test
    fun `the table in the documents is the one that the code gives`() {
        val document = Files.readString(Path.of("..", "docs", "RESULT-CODES.md"))
        assertTrue(CodesCommand.table() in document, "docs/RESULT-CODES.md differs from ./plantainturn codes")
    }

    @Test
    fun `numbers are unique`() {
        val numbers = ResultCode.entries.map { it.number }
        assertEquals(numbers.distinct(), numbers)
    }
}
