package plantainturn.request.routing

import org.junit.jupiter.api.Test
import plantainturn.connection.engine.CacheEvent
import plantainturn.process.time.Moment
import plantainturn.request.Samples
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes

class PrefixCacheIndexTest {
    private val index = PrefixCacheIndex(capacity = 160)
    private val upstream = Samples.engineName(1)
    private val other = Samples.engineName(2)
    private val now = Moment.ORIGIN

    @Test
    fun `events add and evict prefixes, and events already seen are ignored`() {
        recordEvents(0, 7, stored = true)
        recordEvents(1, 8, stored = true)
        assertEquals(1.0, index.cachedShare(upstream, listOf(7, 8), now))
        recordEvents(2, 8, stored = false)
        recordEvents(1, 8, stored = true)
        assertEquals(0.5, index.cachedShare(upstream, listOf(7, 8), now))
        assertEquals(upstream, index.longestPrefixHolder(listOf(7, 8)))
    }

    @Test
    fun `a gap in the events invalidates the hints about that upstream only`() {
        recordEvents(0, 7, stored = true)
        index.recordSend(other, listOf(7), now)
        recordEvents(2, 8, stored = true)
        assertEquals(0.0, index.cachedShare(upstream, listOf(7), now))
        assertEquals(1.0, index.cachedShare(upstream, listOf(8), now))
        assertEquals(other, index.longestPrefixHolder(listOf(7)))
        assertEquals(3, index.nextSequence(upstream))
    }

    @Test
    fun `confidence in hints decays with time`() {
        index.recordSend(upstream, listOf(7), now)
        assertEquals(0.5, index.cachedShare(upstream, listOf(7), now + 5.minutes), absoluteTolerance = 1e-9)
        assertTrue(index.cachedShare(upstream, listOf(7), now + 60.minutes) < 0.001)
    }

    @Test
    fun `forgetting an upstream drops its hints and restarts its sequence`() {
        recordEvents(0, 7, stored = true)
        index.forget(upstream)
        assertNull(index.longestPrefixHolder(listOf(7)))
        assertEquals(0, index.nextSequence(upstream))
    }

    @Test
    fun `the number of remembered prefixes is bounded`() {
        index.recordSend(upstream, (1L..10_000L).toList(), now)
        assertEquals(160, (1L..10_000L).count { index.longestPrefixHolder(listOf(it)) != null })
    }

    private fun recordEvents(
        sequence: Long,
        prefix: Long,
        stored: Boolean,
    ) = index.recordEvents(upstream, listOf(CacheEvent(sequence, Samples.model, prefix, stored)), now)
}
