package plantainturn.process.control.lease

import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class IssuerFitnessTest {
    @Test
    fun `a strong node and one with unknown resources wait only the minimum delay`() {
        assertEquals(100.milliseconds, IssuerFitness.claimDelay(1.5, 140.0))
        assertEquals(100.milliseconds, IssuerFitness.claimDelay(null, null))
    }

    @Test
    fun `the weaker the processor or the link, the longer the node waits`() {
        val small = IssuerFitness.claimDelay(0.36, 140.0)

        assertTrue(small > IssuerFitness.claimDelay(0.75, 140.0))
        assertTrue(IssuerFitness.claimDelay(1.5, 7.0) > small)
        assertTrue(IssuerFitness.claimDelay(0.01, 0.1) <= 800.milliseconds)
    }
}
