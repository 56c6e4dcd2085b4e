package plantainturn.request.relay

import org.junit.jupiter.api.Test
import plantainturn.version.configuration.ModelName
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/** Load pattern: a small, fast model with short and long prompts among large ones. */
class EngineTimeEstimatorTest {
    private val pace = EngineTimeEstimator()
    private val small = ModelName("small")

    @Test
    fun `short prompts do not hide how fast a small model reads long ones`() {
        repeat(50) {
            pace.observe(small, prefillTokens = 200, seen = 27.milliseconds)
            if (it % 10 == 0) pace.observe(small, prefillTokens = 9_000, seen = 56.milliseconds)
        }

        val expected = pace.firstEvent(small, 20_000)
        assertTrue(expected < 250.milliseconds, "a model that reads seven times as fast: $expected")
    }

    @Test
    fun `times of short prompts change nothing`() {
        val before = pace.firstEvent(small, 5_000)
        repeat(20) { pace.observe(small, prefillTokens = 100, seen = 400.milliseconds) }

        assertEquals(before, pace.firstEvent(small, 5_000))
    }
}
