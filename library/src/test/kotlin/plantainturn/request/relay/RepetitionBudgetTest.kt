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
    fun `all nodes together stay within the bound of the deployment`() {
        val nodes = 8
        val allowances = List(nodes) { RepetitionBudget(BOUND) { 1.0 / nodes } }
        var requests = 0
        var repetitions = 0
        for (time in 0 until 10_000 step 10) {
            val allowance = allowances[time / 10 % nodes]
            allowance.onRequest(service, at(time))
            requests++
            repeat(2) { if (allowance.tryRepeat(service, at(time)).granted) repetitions++ }
        }

        assertTrue(repetitions <= BOUND.ratio * requests + BOUND.fixed, "$repetitions for $requests")
        assertTrue(repetitions > BOUND.ratio * requests / 2, "the bound is made use of")
    }

    @Test
    fun `repetitions come back as the window slides`() {
        val allowance = RepetitionBudget(BOUND) { 1.0 }
        val first = allowance.takeAll(at(0))

        assertEquals(false, allowance.tryRepeat(service, at(9_000)).granted)
        assertEquals(first, allowance.takeAll(at(10_001)))
    }

    private fun RepetitionBudget.takeAll(now: Moment): Int =
        generateSequence { tryRepeat(service, now) }.takeWhile { it.granted }.count()

    private companion object {
        val BOUND = RepetitionSettings(ratio = 0.2, fixed = 56.0, window = 10.seconds)

        fun at(milliseconds: Int): Moment = Moment.ORIGIN + milliseconds.milliseconds
    }
}
