package plantainturn.connection.store

import org.junit.jupiter.api.Test
import plantainturn.connection.log.LogOffset
import plantainturn.process.time.VirtualTimerService
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TopicFollowerTest {
    private val timer = VirtualTimerService()
    private val store = FakeRecordStore(timer).apply { readsHearRecords = true }

    @Test
    fun `a follower takes over what a peer has read and reads it no more`() {
        write("a")
        val heard = ArrayList<String>()
        val reader = follower(ArrayList(), restMilliseconds = 0)
        val other = follower(heard, restMilliseconds = 60_000)
        timer.advance(1.seconds)
        write("b")
        timer.advance(1.seconds)
        write("c")
        timer.advance(1.seconds)
        assertEquals(listOf("a", "b"), heard, "it rests")

        other.offer(assertNotNull(reader.since(other.end)))

        assertEquals(listOf("a", "b", "c"), heard)
        assertNull(reader.since(other.end))
        timer.advance(70.seconds)
        assertEquals(listOf("a", "b", "c"), heard, "nothing is heard twice")
    }

    /** Guards against a busy node that takes an answer which has waited for seconds for the present state. */
    @Test
    fun `what a reading shows counts from when it was sent`() {
        store.latency = 3.seconds
        write("a")
        val follower = follower(ArrayList(), restMilliseconds = 60_000)
        val sentAt = timer.now()
        timer.advance(2.9.seconds)
        assertNull(follower.currentAt)
        timer.advance(0.2.seconds)

        assertEquals(sentAt, follower.currentAt)
    }

    @Test
    fun `records after a gap are not taken over`() {
        write("a")
        val heard = ArrayList<String>()
        val other = follower(heard, restMilliseconds = 60_000)
        timer.advance(1.seconds)

        other.offer(RecordsSince(position(2), listOf(KeyedRecord("c", ByteArray(1), LogOffset(2))), position(3)))

        assertEquals(listOf("a"), heard)
        assertEquals(position(1), other.end)
    }

    /** A refused issuer hears the same records from many nodes, of which some have read less than others. */
    @Test
    fun `an old record of a peer never replaces a newer one`() {
        write("a")
        val heard = ArrayList<String>()
        val reader = follower(ArrayList(), restMilliseconds = 0)
        val other = follower(heard, restMilliseconds = 60_000)
        timer.advance(1.seconds)
        write("b")
        timer.advance(1.seconds)
        val start = other.end
        write("c")
        timer.advance(1.seconds)
        val older = assertNotNull(reader.since(start))
        write("d")
        timer.advance(1.seconds)
        val newer = assertNotNull(reader.since(start))

        other.offer(newer, 9.seconds)
        other.offer(older, 9.seconds)
        other.offer(newer, 9.seconds)
        assertEquals(listOf("a", "b", "c", "d"), heard)
        assertEquals(newer.next, other.end)

        store.restore(2)
        val laterEra = StorePosition(StoreEra(2), LogOffset(5))
        other.offer(RecordsSince(newer.next, listOf(record("e", 4)), laterEra), 9.seconds)
        assertEquals(newer.next, other.end, "records of another era don't continue those of this one")
        timer.advance(70.seconds)
        heard.clear()
        other.offer(RecordsSince(newer.next, listOf(record("e", 4)), position(5)), 9.seconds)
        assertEquals(emptyList(), heard, "records of the time before the restore are lost")
        assertEquals(StorePosition(StoreEra(2), LogOffset(2)), other.end)
    }

    @Test
    fun `records that are too many or too large for one message follow in the next one`() {
        val all = RecordsSince(position(3), listOf(record("a", 3), record("b", 5), record("c", 9)), position(12))

        assertEquals(all, all.atMost(3, 100))
        assertEquals(RecordsSince(position(3), all.records.take(2), position(6)), all.atMost(2, 100))
        assertEquals(RecordsSince(position(3), all.records.take(1), position(4)), all.atMost(3, 3))
        assertNull(all.atMost(3, 1))
        val heartbeats = RecordsSince(position(3), emptyList(), position(12))
        assertEquals(heartbeats, heartbeats.atMost(3, 1))
    }

    /** Found by hamasaki-keg, trouble-3 of snapshot 2127b7ca: a configuration was in force 2.1 s after its writing. */
    @Test
    fun `a hint of a later end is followed while a long read hears nothing`() {
        write("a")
        store.readsHearRecords = false
        val heard = ArrayList<String>()
        val follower = follower(heard, restMilliseconds = 800)
        timer.advance(1.seconds)
        write("b")
        val hinting = timer.subscribe(200.milliseconds) { follower.catchUp(position(2)) }
        timer.advance(700.milliseconds)
        hinting.cancel()

        assertEquals(listOf("a", "a", "b"), heard)
    }

    @Test
    fun `a long read that hears nothing is given up when the pace becomes short`() {
        write("a")
        store.readsHearRecords = false
        val heard = ArrayList<String>()
        var wait = 8.seconds
        follower(heard, restMilliseconds = 800) { wait }
        timer.advance(1.seconds)
        store.readsHearRecords = true
        wait = 800.milliseconds
        timer.advance(600.milliseconds)
        write("b")

        timer.advance(300.milliseconds)

        assertEquals(listOf("a", "b"), heard)
    }

    @Test
    fun `records are heard after a restore though the topic is shorter than before`() {
        repeat(5) { write("a") }
        val heard = ArrayList<String>()
        val follower = follower(heard, restMilliseconds = 0)
        timer.advance(1.seconds)
        heard.clear()

        store.restore(2)
        write("b")
        timer.advance(9.seconds)

        assertEquals(listOf("a", "b"), heard)
        assertEquals(StorePosition(StoreEra(2), LogOffset(3)), follower.end)
    }

    @Test
    fun `a record at the offset of a lost one is heard though the topic has outgrown its former end`() {
        repeat(5) { write("a") }
        val heard = ArrayList<String>()
        follower(heard, restMilliseconds = 800)
        timer.advance(1.seconds)
        write("a")
        timer.advance(100.milliseconds)
        heard.clear()

        store.restore(2)
        write("b")
        repeat(6) { write("c") }
        timer.advance(2.seconds)

        assertEquals(setOf("a", "b", "c"), heard.toSet())
    }

    @Test
    fun `what peers read and hint at in an earlier era has no effect after a restore`() {
        repeat(5) { write("a") }
        val heard = ArrayList<String>()
        val reader = follower(ArrayList(), restMilliseconds = 0)
        val follower = follower(heard, restMilliseconds = 0)
        timer.advance(1.seconds)
        val before = reader.end
        write("lost")
        timer.advance(1.seconds)
        val lost = assertNotNull(reader.since(before))
        store.restore(5)
        timer.advance(9.seconds)
        heard.clear()

        follower.offer(lost)
        repeat(4) {
            follower.catchUp(lost.next)
            timer.advance(200.milliseconds)
        }

        assertEquals(emptyList(), heard)
        assertNull(reader.since(before))
    }

    @Test
    fun `a hint of a later era is followed by a node that rests`() {
        repeat(5) { write("a") }
        val heard = ArrayList<String>()
        val follower = follower(heard, restMilliseconds = 60_000)
        timer.advance(1.seconds)
        write("a")
        timer.advance(1.seconds)
        heard.clear()

        store.restore(2)
        write("b")
        repeat(4) {
            follower.catchUp(StorePosition(StoreEra(2), LogOffset(3)))
            timer.advance(200.milliseconds)
        }

        assertEquals(listOf("a", "b"), heard)
    }

    private fun position(offset: Long) = StorePosition(StoreEra.FIRST, LogOffset(offset))

    private fun record(
        key: String,
        offset: Long,
    ) = KeyedRecord(key, ByteArray(1), LogOffset(offset))

    private fun write(key: String) {
        store.records += KeyedRecord(key, ByteArray(1), LogOffset(store.records.size.toLong()))
    }

    private fun follower(
        heard: MutableList<String>,
        restMilliseconds: Int,
        wait: () -> Duration = { 8.seconds },
    ): TopicFollower {
        val listener =
            object : TopicListener {
                override fun onWhole(records: List<KeyedRecord>) = records.forEach(::onRecord)

                override fun onRecord(record: KeyedRecord) {
                    heard += record.key
                }
            }
        val pace = { ReadPace(wait(), restMilliseconds.milliseconds) }
        return TopicFollower(store, TopicName("topic", keyed = true), listener, timer, pace = pace).also { it.start() }
    }
}
