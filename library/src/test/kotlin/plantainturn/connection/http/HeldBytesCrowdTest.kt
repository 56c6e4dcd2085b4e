package plantainturn.connection.http

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.Size
import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/** Replays crowds that hold memory beside sound callers. */
class HeldBytesCrowdTest {
    private val held = HeldBytes(limit = LIMIT)

    private inner class Caller(
        override var standing: HolderStanding = HolderStanding.INCOMPLETE,
    ) : HeldBytes.Holder {
        var bytes = 0L
        var isGivenUp = false

        override fun giveUp(reason: String) {
            isGivenUp = true
            bytes = 0
        }

        /** Takes in [more] bytes unless the owner lets it wait. */
        fun receive(more: Long) {
            if (isGivenUp || !held.mayGrow(this)) return
            bytes += more
            held.update(this, bytes)
        }
    }

    /** Guards against a crowd of large incomplete bodies that leaves nothing to small requests. */
    @Test
    fun `small requests are taken in while a crowd's bodies wait for their last byte`() {
        val crowd = List(CROWD) { Caller() }
        repeat(BODY / PIECE) { crowd.forEach { it.receive(PIECE.toLong()) } }
        assertTrue(held.total <= LIMIT)

        repeat(SMALL_REQUESTS) {
            val sound = Caller()
            sound.receive(SMALL)
            assertEquals(SMALL, sound.bytes)
            assertFalse(sound.isGivenUp)
            held.update(sound, 0)
        }
    }

    /** Guards against paused bodies that hold memory until their deadlines, though nothing comes of them. */
    @Test
    fun `half of the memory is free a second after it became scarce and stalled bodies go first`() {
        val sound = Caller().apply { receive(BODY.toLong()) }
        val crowd = List(CROWD) { Caller(HolderStanding.STALLED) }
        repeat(BODY / PIECE) { crowd.forEach { it.receive(PIECE.toLong()) } }
        held.relieve(START)
        held.relieve(START + 900.milliseconds)
        assertEquals(0, held.givenUp)
        held.relieve(START + 1_000.milliseconds)

        assertTrue(held.total <= LIMIT / 2, "${held.total}")
        assertFalse(sound.isGivenUp)
    }

    /** Guards against a refusal of a request that a server may already run. */
    @Test
    fun `messages in use are never given up`() {
        val inUse = Caller(HolderStanding.IN_USE).apply { receive(LIMIT) }
        val arriving = Caller()
        arriving.bytes = PIECE.toLong()
        held.update(arriving, arriving.bytes)
        assertFalse(inUse.isGivenUp)
        assertTrue(arriving.isGivenUp)
    }

    @Test
    fun `a single caller does not grow beyond its share`() {
        val caller = Caller()
        repeat(BODY / PIECE * CROWD) { caller.receive(PIECE.toLong()) }
        assertTrue(caller.bytes <= LIMIT / 3 + PIECE, "${caller.bytes}")
    }

    /** Guards against counts that drift as holders grow, shrink and are given up in any order. */
    @Property
    fun `the total is the sum of the holders and at most the limit`(
        @ForAll @Size(max = 200) changes: List<Int>,
    ) {
        val owner = HeldBytes(limit = LIMIT)
        val bytes = HashMap<Int, Long>()
        val holders = List(7) { number -> HeldBytes.Holder { bytes -= number } }
        changes.forEachIndexed { index, change ->
            val number = index % holders.size
            val size = change.mod(MAXIMUM_SIZE).toLong()
            bytes[number] = size
            owner.update(holders[number], size)
            assertEquals(bytes.values.sum(), owner.total)
            assertTrue(owner.total <= LIMIT)
        }
    }

    private companion object {
        const val LIMIT = 24_000_000L
        const val CROWD = 240
        const val BODY = 524_288
        const val PIECE = 4_096
        const val SMALL = 8_192L
        const val SMALL_REQUESTS = 1_000
        const val MAXIMUM_SIZE = 10_000_000
        val START = Moment.ORIGIN + 5_000.milliseconds
    }
}
