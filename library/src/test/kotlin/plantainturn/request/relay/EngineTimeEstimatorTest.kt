package plantainturn.request.relay

import org.junit.jupiter.api.Test
import plantainturn.version.configuration.ModelName
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/** Load pattern: a small, fast model with short and long prompts among large models. */
class EngineTimeEstimatorTest {
    private val estimator = EngineTimeEstimator()
    private val small = ModelName("small")

    @Test
    fun `short prompts do not hide how fast a small model processes long ones`() {
        repeat(50) {
            estimator.observe(small, prefillTokens = 200, observed = 27.milliseconds)
            if (it % 10 == 0) estimator.observe(small, prefillTokens = 9_000, observed = 56.milliseconds)
        }

        val expected = estimator.timeToFirstEvent(small, 20_000)
        assertTrue(expected < 250.milliseconds, "expected for a model with seven times the prefill speed: $expected")
    }

    @Test
    fun `times of short prompts do not change the estimate`() {
        val before = estimator.timeToFirstEvent(small, 5_000)
        repeat(20) { estimator.observe(small, prefillTokens = 100, observed = 400.milliseconds) }

        assertEquals(before, estimator.timeToFirstEvent(small, 5_000))
    }
}
