package plantainturn.request.relay

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import plantainturn.version.configuration.ServiceName
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RepetitionBudgetTest {
    private val service = ServiceName("service")

    @Test
    fun `all nodes together stay within the limit of the deployment`() {
        val nodes = 8
        val budgets = List(nodes) { RepetitionBudget(BOUND) { 1.0 / nodes } }
        var requests = 0
        var repetitions = 0
        for (time in 0 until 10_000 step 10) {
            val budget = budgets[time / 10 % nodes]
            budget.onRequest(service, at(time))
            requests++
            repeat(2) { if (budget.tryRepeat(service, at(time)).granted) repetitions++ }
        }

        assertTrue(repetitions <= BOUND.ratio * requests + BOUND.fixed, "$repetitions for $requests")
        assertTrue(repetitions > BOUND.ratio * requests / 2, "more than half of the ratio is used")
    }

    @Test
    fun `repetitions become available again as the window slides`() {
        val budget = RepetitionBudget(BOUND) { 1.0 }
        val first = budget.takeAll(at(0))

        assertEquals(false, budget.tryRepeat(service, at(9_000)).granted)
        assertEquals(first, budget.takeAll(at(10_001)))
    }

    private fun RepetitionBudget.takeAll(now: Moment): Int =
        generateSequence { tryRepeat(service, now) }.takeWhile { it.granted }.count()

    private companion object {
        val BOUND = RepetitionSettings(ratio = 0.2, fixed = 56.0, window = 10.seconds)

        fun at(milliseconds: Int): Moment = Moment.ORIGIN + milliseconds.milliseconds
    }
}
