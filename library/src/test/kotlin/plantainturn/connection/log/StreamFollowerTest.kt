package plantainturn.connection.log

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.time.Duration

class StreamFollowerTest {
    private val stream = StreamName("words")
    private val log = FakeLogService()
    private val source = LogRecordSource(log, stream)
    private val kept = PeerRecordStore()
    private val heard = mutableListOf<String>()
    private val follower = StreamFollower(stream, WordFold, kept) { _, verdicts, _ -> heard += verdicts }

    @Test
    fun `records are folded in order and once`() {
        append("one")
        append("two")
        step()
        step()
        assertEquals(listOf("one", "two"), follower.position?.state)
        assertEquals(listOf("one", "two"), heard)
    }

    @Test
    fun `a record that was appended twice is folded at its first offset only`() {
        append("one")
        append("two")
        append("one")
        step()
        assertEquals(listOf("one", "two"), follower.position?.state)
        assertEquals(LogOffset(3), follower.position?.next)
    }

    @Test
    fun `a copy is recognised by a reader that started at a snapshot between the two`() {
        append("one")
        step()
        appendSnapshot("s")
        append("one")
        log.expireBefore(stream, LogOffset(1))
        val fresh = StreamFollower(stream, WordFold)
        repeat(2) { fresh.step(source, Duration.ZERO) }
        step()
        assertEquals(listOf("one"), fresh.position?.state)
        assertEquals(follower.position, fresh.position)
    }

    @Test
    fun `a record of unknown rules stops the follower for good`() {
        append("one")
        log.append(stream, WordFold.record("new", "new", rule = 2))
        append("two")
        assertEquals(FollowResult.Stopped(LogOffset(1), 2), step())
        assertEquals(FollowResult.Stopped(LogOffset(1), 2), step())
        assertEquals(listOf("one"), follower.position?.state)
    }

    @Test
    fun `a payload that names no rule is ignored by every reader`() {
        for (payload in listOf("", "[]", "{}", """{"rule":"1"}""", """{"rule":1}""", """{"rule":1,"snapshot":3}""")) {
            log.append(stream, LogRecord(RecordIdentifier(payload), payload))
        }
        append("one")
        step()
        assertEquals(listOf("one"), follower.position?.state)
    }

    @Test
    fun `a gap without a snapshot is never skipped`() {
        append("one")
        step()
        append("two")
        append("three")
        log.expireBefore(stream, LogOffset(2))
        assertEquals(FollowResult.SnapshotMissing(LogOffset(2)), step())
        assertEquals(listOf("one"), follower.position?.state)
    }

    @Test
    fun `a gap is bridged by a snapshot that covers it`() {
        append("one")
        step()
        val behind = StreamFollower(stream, WordFold).also { it.step(source, Duration.ZERO) }
        append("two")
        step()
        appendSnapshot("s")
        append("three")
        log.expireBefore(stream, LogOffset(2))
        assertEquals(FollowResult.Adopted(LogOffset(2)), behind.step(source, Duration.ZERO))
        behind.step(source, Duration.ZERO)
        assertEquals(listOf("one", "two", "three"), behind.position?.state)
    }

    @Test
    fun `a snapshot that leaves a gap is not used`() {
        append("one")
        step()
        val parts = follower.snapshot("s", 1000)
        append("two")
        append("three")
        parts.forEach { log.append(stream, LogRecord(RecordIdentifier("s"), RecordCodec.encodeSnapshot(1, it))) }
        log.expireBefore(stream, LogOffset(2))
        assertIs<FollowResult.SnapshotMissing>(StreamFollower(stream, WordFold).step(source, Duration.ZERO))
    }

    @Test
    fun `a source that calls records gone which its snapshot does not cover is not followed`() {
        append("one")
        append("two")
        step()
        appendSnapshot("s")
        val lying =
            RecordSource { from, limit, wait ->
                if (from == LogOffset(2)) ReadResult.Expired(LogOffset.FIRST) else source.read(from, limit, wait)
            }
        assertIs<FollowResult.Inconsistent>(follower.step(lying, Duration.ZERO))
        assertEquals(listOf("one", "two"), follower.position?.state)
    }

    @Test
    fun `a snapshot in several parts among other records is put together`() {
        append("one")
        append("two")
        step()
        val parts = follower.snapshot("s", 7)
        parts.reversed().forEach { part ->
            log.append(stream, LogRecord(RecordIdentifier("s${part.part}"), RecordCodec.encodeSnapshot(1, part)))
            append("between ${part.part}")
        }
        log.expireBefore(stream, LogOffset(2))
        step()
        val fresh = StreamFollower(stream, WordFold)
        repeat(2) { fresh.step(source, Duration.ZERO) }
        assertEquals(follower.position, fresh.position)
    }

    @Test
    fun `an answer that came late changes nothing`() {
        append("one")
        val late = source.read(LogOffset.FIRST, 10, Duration.ZERO)
        append("two")
        step()
        val slow = RecordSource { _, _, _ -> late }
        assertIs<FollowResult.Behind>(follower.step(slow, Duration.ZERO))
        assertEquals(listOf("one", "two"), follower.position?.state)
    }

    @Test
    fun `an answer with a hole is used up to the hole`() {
        append("one")
        append("two")
        append("three")
        val whole = assertIs<ReadResult.Records>(source.read(LogOffset.FIRST, 10, Duration.ZERO))
        val records = whole.records.filter { it.offset != LogOffset(1) }.toPersistentList()
        val holed = RecordSource { _, _, _ -> whole.copy(records = records) }
        assertIs<FollowResult.Inconsistent>(follower.step(holed, Duration.ZERO))
        assertEquals(listOf("one"), follower.position?.state)
    }

    @Test
    fun `another reader of the same follower overtakes a slow read without harm`() {
        append("one")
        val overtaken =
            RecordSource { from, limit, wait ->
                val answer = source.read(from, limit, wait)
                append("two")
                step()
                answer
            }
        assertEquals(FollowResult.Followed(LogOffset(2), LogOffset(1)), follower.step(overtaken, Duration.ZERO))
        assertEquals(listOf("one", "two"), heard)
    }

    @Test
    fun `a fresh follower starts from a peer's records and goes on from the log`() {
        append("one")
        append("two")
        step()
        appendSnapshot("s")
        append("three")
        step()
        val fresh = StreamFollower(stream, WordFold)
        val peer = RecordSource { from, limit, wait -> PeerRecords.of(kept.read(from, limit, wait)).toReadResult() }
        assertIs<FollowResult.Adopted>(fresh.step(peer, Duration.ZERO))
        fresh.step(peer, Duration.ZERO)
        assertEquals(follower.position, fresh.position)
        append("four")
        fresh.step(source, Duration.ZERO)
        assertEquals(listOf("one", "two", "three", "four"), fresh.position?.state)
    }

    @Test
    fun `a peer that has read nothing gives no start`() {
        val fresh = StreamFollower(stream, WordFold)
        assertIs<FollowResult.Unavailable>(fresh.step(PeerRecordStore(), Duration.ZERO))
        assertNull(fresh.position)
    }

    @Test
    fun `the store for peers stays within its limit`() {
        val small = PeerRecordStore(limitCharacters = 100)
        val record = WordFold.record("r", "x".repeat(30))
        repeat(10) { small.add(StoredRecord(LogOffset(it.toLong()), record)) }
        assertIs<ReadResult.Expired>(small.read(LogOffset.FIRST, 10, Duration.ZERO))
        val page = small.read(LogOffset(9), 10, Duration.ZERO)
        assertEquals(ReadResult.Records(persistentListOf(StoredRecord(LogOffset(9), record)), LogOffset(10)), page)
    }

    private fun step(): FollowResult = follower.step(source, Duration.ZERO)

    private fun append(word: String) {
        log.append(stream, WordFold.record(word, word))
    }

    private fun appendSnapshot(identifier: String) {
        val part = follower.snapshot(identifier, Int.MAX_VALUE).single()
        log.append(stream, LogRecord(RecordIdentifier(identifier), RecordCodec.encodeSnapshot(1, part)))
    }
}
