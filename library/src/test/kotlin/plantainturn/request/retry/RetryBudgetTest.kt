package plantainturn.request.retry

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.time.Duration.Companion.seconds

class RetryBudgetTest {
    private val budget = RetryBudget(ratio = 0.5, reserve = 3.0, refillPeriod = 10.seconds)
    private var now = Moment.ORIGIN

    @Test
    fun `without successes only the reserve and the refill over time are available`() {
        assertEquals(3, retries(100))
        now += 25.seconds
        assertEquals(2, retries(100))
    }

    @Test
    fun `each success adds a fraction of a retry`() {
        retries(3)
        repeat(4) { budget.recordSuccess() }
        assertEquals(2, retries(100))
    }

    @Test
    fun `saved retries are limited to the reserve`() {
        repeat(1_000) { budget.recordSuccess() }
        assertEquals(3, retries(100))
        assertFalse(budget.tryRetry(now))
    }

    private fun retries(attempts: Int): Int = (1..attempts).count { budget.tryRetry(now) }
}
