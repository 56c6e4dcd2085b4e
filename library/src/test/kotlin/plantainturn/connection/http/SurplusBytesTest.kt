package plantainturn.connection.http

import org.junit.jupiter.api.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class SurplusBytesTest {
    private val surplus = SurplusBytes(base = 1_000, framingFactor = 4)

    @Test
    fun `bytes without end that are no body end at the bound`() {
        var taken = 0
        while (!surplus.isExceeded) {
            surplus.onReceived(10)
            taken += 10
        }

        assertTrue(taken in 1_000..1_010, "$taken bytes")
    }

    @Test
    fun `a long body in short chunks is no surplus`() {
        repeat(100_000) {
            surplus.onReceived(10)
            surplus.onBody(4)
        }

        assertFalse(surplus.isExceeded)
    }

    @Test
    fun `chunks of a byte with long extensions are`() {
        var chunks = 0
        while (!surplus.isExceeded && chunks < 1_000) {
            surplus.onReceived(200)
            surplus.onBody(1)
            chunks++
        }

        assertTrue(chunks < 10, "$chunks chunks")
    }

    @Test
    fun `the next request begins anew`() {
        surplus.onReceived(1_000)
        surplus.onRequest()
        surplus.onReceived(1_000)

        assertFalse(surplus.isExceeded)
    }
}
