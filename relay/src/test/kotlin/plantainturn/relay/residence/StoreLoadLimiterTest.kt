package plantainturn.relay.residence

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StoreLoadLimiterTest {
    @Test
    fun `a window admits as many loads as its rate allows`() {
        val limiter = StoreLoadLimiter(5.seconds, at(0), previousLoads = emptyList())
        val allowance = limiter.remainingLoads(2.1, at(0))
        repeat(allowance) { limiter.onLoad(at(0)) }

        assertEquals(0, limiter.remainingLoads(2.1, at(4_999)))
        assertEquals(allowance, limiter.remainingLoads(2.1, at(5_001)))
    }

    @Test
    fun `two issuers in one window stay within the limit of the store together`() {
        val before = StoreLoadLimiter(5.seconds, at(0), previousLoads = emptyList())
        var loads = 0
        while (before.remainingLoads(2.1, at(1_000)) > 0) {
            before.onLoad(at(1_000))
            loads++
        }
        val after = StoreLoadLimiter(5.seconds, at(3_000), previousLoads = null)
        while (after.remainingLoads(2.1, at(3_000)) > 0) {
            after.onLoad(at(3_000))
            loads++
        }

        assertTrue(loads <= LIMIT, "$loads loads began in one window")
    }

    @Test
    fun `consecutive issuers that know of earlier loads stay within one allowance`() {
        var reported = emptyList<Moment>()
        for (issuer in 0 until 4) {
            val now = at(issuer * 1_000)
            val limiter = StoreLoadLimiter(5.seconds, now, reported)
            repeat(minOf(limiter.remainingLoads(2.1, now), 3)) { limiter.onLoad(now) }
            reported = limiter.recentLoads(now)
        }

        assertEquals(7, reported.size)
    }

    @Test
    fun `loads with unanswered orders count until they can no longer start`() {
        val limiter = StoreLoadLimiter(5.seconds, at(0), previousLoads = emptyList())
        val allowance = limiter.remainingLoads(2.1, at(0))
        limiter.onUncertainLoad(at(0))

        assertEquals(allowance - 1, limiter.remainingLoads(2.1, at(16_999)))
        assertEquals(allowance, limiter.remainingLoads(2.1, at(17_001)))
    }

    private companion object {
        /** The limit of a 5 s window at 2.1 loads per second: 1.1 times the rate, plus 3 loads. */
        const val LIMIT = 14

        fun at(milliseconds: Int): Moment = Moment.ORIGIN + milliseconds.milliseconds
    }
}
