package plantainturn.process.control.lease

import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class IssuerFitnessTest {
    @Test
    fun `a strong node and one that does not know itself wait only for what they may not have read yet`() {
        assertEquals(100.milliseconds, IssuerFitness.claimDelay(1.5, 140.0))
        assertEquals(100.milliseconds, IssuerFitness.claimDelay(null, null))
    }

    @Test
    fun `a weak processor or a slow link lets a node wait, the weaker the longer`() {
        val small = IssuerFitness.claimDelay(0.36, 140.0)

        assertTrue(small > IssuerFitness.claimDelay(0.75, 140.0))
        assertTrue(IssuerFitness.claimDelay(1.5, 7.0) > small)
        assertTrue(IssuerFitness.claimDelay(0.01, 0.1) <= 800.milliseconds)
    }
}
