package plantainturn.request.quota

import plantainturn.process.time.Moment
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SilentPartsTest {
    private val startedAt = Moment.ORIGIN + 100.seconds

    /** Guards against parts that are granted to others while a node that is cut off may still use them. */
    @Test
    fun `the part of a silent process is held until it has lapsed`() {
        val parts = SilentParts(startedAt, hasPredecessor = false)
        parts.onReport("a", "1", 0.25, startedAt)

        assertEquals(0.0, parts.fraction(SILENT, startedAt + 400.milliseconds))
        assertEquals(0.25, parts.fraction(SILENT, startedAt + 600.milliseconds))
        assertEquals(0.25, parts.fraction(SILENT, startedAt + NodeQuotas.SHARE_TERM))
        assertEquals(0.0, parts.fraction(SILENT, startedAt + NodeQuotas.SHARE_TERM + 6.seconds))
    }

    /** Guards against quotas that are left unused for the time of a term after nodes have restarted. */
    @Test
    fun `the part of a process is free once another one reports from its address`() {
        val parts = SilentParts(startedAt, hasPredecessor = false)
        parts.onReport("a", "1", 0.25, startedAt)
        parts.onReport("b", "2", 0.25, startedAt)
        parts.onReport("c", "", 0.25, startedAt)

        parts.onReport("a2", "1", 0.25, startedAt + 1.seconds)
        parts.onReport("c2", "", 0.25, startedAt + 1.seconds)

        assertEquals(0.5, parts.fraction(SILENT, startedAt + 1.seconds))
    }

    /** Guards against a new desk that grants what nodes use by themselves that only its predecessor has heard. */
    @Test
    fun `a desk with a predecessor counts what it has not heard of as possibly used for one term`() {
        val parts = SilentParts(startedAt, hasPredecessor = true)
        parts.onReport("a", "1", 0.25, startedAt)

        assertEquals(0.75, parts.unknownFraction(startedAt + NodeQuotas.SHARE_TERM))
        assertEquals(0.0, parts.unknownFraction(startedAt + NodeQuotas.SHARE_TERM + 6.seconds))
        assertEquals(0.0, SilentParts(startedAt, hasPredecessor = false).unknownFraction(startedAt))
    }

    private companion object {
        val SILENT = 500.milliseconds
    }
}
