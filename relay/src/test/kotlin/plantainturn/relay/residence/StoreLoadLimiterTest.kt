package plantainturn.relay.residence

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StoreLoadPacerTest {
    @Test
    fun `a window takes as many loads as its rate allows`() {
        val pacer = StoreLoadLimiter(5.seconds, at(0), known = emptyList())
        val whole = pacer.left(2.1, at(0))
        repeat(whole) { pacer.onLoad(at(0)) }

        assertEquals(0, pacer.left(2.1, at(4_999)))
        assertEquals(whole, pacer.left(2.1, at(5_001)))
    }

    @Test
    fun `two issuers in one window stay below the ceiling together`() {
        val before = StoreLoadLimiter(5.seconds, at(0), known = emptyList())
        var loads = 0
        while (before.left(2.1, at(1_000)) > 0) {
            before.onLoad(at(1_000))
            loads++
        }
        val after = StoreLoadLimiter(5.seconds, at(3_000), known = null)
        while (after.left(2.1, at(3_000)) > 0) {
            after.onLoad(at(3_000))
            loads++
        }

        assertTrue(loads <= CEILING, "$loads loads began in one window")
    }

    @Test
    fun `issuers that follow each other and were told of loads stay within one allowance`() {
        var told = emptyList<Moment>()
        for (issuer in 0 until 4) {
            val now = at(issuer * 1_000)
            val pacer = StoreLoadLimiter(5.seconds, now, told)
            repeat(minOf(pacer.left(2.1, now), 3)) { pacer.onLoad(now) }
            told = pacer.recent(now)
        }

        assertEquals(7, told.size)
    }

    @Test
    fun `loads whose orders got no answer count until they can't begin any more`() {
        val pacer = StoreLoadLimiter(5.seconds, at(0), known = emptyList())
        val whole = pacer.left(2.1, at(0))
        pacer.onDoubt(at(0))

        assertEquals(whole - 1, pacer.left(2.1, at(16_999)))
        assertEquals(whole, pacer.left(2.1, at(17_001)))
    }

    private companion object {
        /** Of a window of 5 s at 2.1 loads a second: a tenth and three more than the rate gives. */
        const val CEILING = 14

        fun at(milliseconds: Int): Moment = Moment.ORIGIN + milliseconds.milliseconds
    }
}
