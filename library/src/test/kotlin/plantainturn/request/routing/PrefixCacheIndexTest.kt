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
    fun `events store and evict, and old ones are ignored`() {
        observe(0, 7, stored = true)
        observe(1, 8, stored = true)
        assertEquals(1.0, index.cachedShare(upstream, listOf(7, 8), now))
        observe(2, 8, stored = false)
        observe(1, 8, stored = true)
        assertEquals(0.5, index.cachedShare(upstream, listOf(7, 8), now))
        assertEquals(upstream, index.longestHolder(listOf(7, 8)))
    }

    @Test
    fun `a gap forgets the upstream's cache and no other`() {
        observe(0, 7, stored = true)
        index.observeSend(other, listOf(7), now)
        observe(2, 8, stored = true)
        assertEquals(0.0, index.cachedShare(upstream, listOf(7), now))
        assertEquals(1.0, index.cachedShare(upstream, listOf(8), now))
        assertEquals(other, index.longestHolder(listOf(7)))
        assertEquals(3, index.nextSequence(upstream))
    }

    @Test
    fun `hints lose trust with time`() {
        index.observeSend(upstream, listOf(7), now)
        assertEquals(0.5, index.cachedShare(upstream, listOf(7), now + 5.minutes), absoluteTolerance = 1e-9)
        assertTrue(index.cachedShare(upstream, listOf(7), now + 60.minutes) < 0.001)
    }

    @Test
    fun `a restart forgets all`() {
        observe(0, 7, stored = true)
        index.forget(upstream)
        assertNull(index.longestHolder(listOf(7)))
        assertEquals(0, index.nextSequence(upstream))
    }

    @Test
    fun `memory is bounded`() {
        index.observeSend(upstream, (1L..10_000L).toList(), now)
        assertEquals(160, (1L..10_000L).count { index.longestHolder(listOf(it)) != null })
    }

    private fun observe(
        sequence: Long,
        prefix: Long,
        stored: Boolean,
    ) = index.observe(upstream, listOf(CacheEvent(sequence, Samples.model, prefix, stored)), now)
}
