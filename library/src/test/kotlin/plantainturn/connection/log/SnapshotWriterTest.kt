package plantainturn.connection.log

import org.junit.jupiter.api.Test
import plantainturn.process.time.VirtualTimerService
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

class SnapshotWriterTest {
    private val stream = StreamName("words")
    private val log = FakeLogService()
    private val timer = VirtualTimerService()
    private val settings =
        SnapshotSettings(24.hours, retentionRecords = 40, retentionCharacters = 4_000, stagger = 10.seconds)
    private val first = Node("a", 0)
    private val second = Node("b", 1)

    @Test
    fun `nothing is written before the first record`() {
        timer.advance(100.hours)
        assertFalse(first.check())
    }

    @Test
    fun `a snapshot is due after a quarter of the records that the log keeps`() {
        append(9)
        assertFalse(first.check())
        append(1)
        assertTrue(first.check())
        assertFalse(first.check())
    }

    @Test
    fun `a snapshot is due after a quarter of the retention also without new records`() {
        append(1)
        timer.advance(6.hours)
        assertTrue(first.check())
        timer.advance(5.hours)
        assertFalse(first.check())
        timer.advance(1.hours)
        assertTrue(first.check())
    }

    @Test
    fun `a snapshot is due after a quarter of the length that the log keeps`() {
        append(1)
        assertFalse(first.check())
        log.append(stream, WordFold.record("long", "x".repeat(1_000)))
        assertTrue(first.check())
        append(1)
        assertFalse(first.check())
    }

    @Test
    fun `a higher rank writes only if no lower one did`() {
        append(10)
        assertFalse(second.check())
        timer.advance(9.seconds)
        assertTrue(first.check())
        timer.advance(2.seconds)
        assertFalse(second.check())
        assertEquals(11, log.records(stream).size)
    }

    @Test
    fun `a higher rank writes when the lower one is gone`() {
        append(10)
        assertFalse(second.check())
        timer.advance(10.seconds)
        assertTrue(second.check())
    }

    @Test
    fun `a new node writes its first snapshot early`() {
        append(10)
        first.check()
        val fresh = Node("c", 0)
        fresh.check()
        timer.advance(2.hours)
        assertTrue(fresh.check())
    }

    @Test
    fun `a snapshot from a lagging node does not put off the next`() {
        append(1)
        val lagging = Node("c", 0).also { it.follower.step(it.source, Duration.ZERO) }
        append(4)
        timer.advance(6.hours)
        assertTrue(first.check())
        timer.advance(5.hours)
        val old = lagging.follower.snapshot("old", 1000).single()
        log.append(stream, LogRecord(RecordIdentifier("old"), RecordCodec.encodeSnapshot(1, old)))
        first.check()
        timer.advance(1.hours)
        assertTrue(first.check())
    }

    private fun append(count: Int) = repeat(count) { log.append(stream, WordFold.record("${counter++}", "word")) }

    private var counter = 0

    private inner class Node(
        name: String,
        rank: Int,
    ) {
        val source = LogRecordSource(log, stream)
        val follower = StreamFollower(stream, WordFold)
        private val appender =
            RecordAppender(log, stream, RecordIdentifiers(name), timer, AdvancingPause(timer))
        private val writer = SnapshotWriter(follower, WordFold.rule, appender, timer, settings) { rank }

        fun check(): Boolean {
            follower.step(source, Duration.ZERO)
            return writer.check()
        }
    }
}
