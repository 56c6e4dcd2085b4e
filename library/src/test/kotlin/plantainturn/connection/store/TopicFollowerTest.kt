package plantainturn.connection.store

import org.junit.jupiter.api.Test
import plantainturn.connection.log.LogOffset
import plantainturn.process.time.VirtualTimerService
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

class TopicFollowerTest {
    private val timer = VirtualTimerService()
    private val store = FakeRecordStore(timer).apply { readsHearRecords = true }

    @Test
    fun `a follower takes over what a peer has read and reads it no more`() {
        write("a")
        val heard = ArrayList<String>()
        val reader = follower(ArrayList(), 0)
        val other = follower(heard, 60)
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

    @Test
    fun `records after a gap are not taken over`() {
        write("a")
        val heard = ArrayList<String>()
        val other = follower(heard, 60)
        timer.advance(1.seconds)

        other.offer(RecordsSince(LogOffset(2), listOf(KeyedRecord("c", ByteArray(1), LogOffset(2))), LogOffset(3)))

        assertEquals(listOf("a"), heard)
        assertEquals(LogOffset(1), other.end)
    }

    private fun write(key: String) {
        store.records += KeyedRecord(key, ByteArray(1), LogOffset(store.records.size.toLong()))
    }

    private fun follower(
        heard: MutableList<String>,
        restSeconds: Int,
    ): TopicFollower {
        val listener =
            object : TopicListener {
                override fun onWhole(records: List<KeyedRecord>) = records.forEach(::onRecord)

                override fun onRecord(record: KeyedRecord) {
                    heard += record.key
                }
            }
        val pace = ReadPace(8.seconds, restSeconds.seconds)
        return TopicFollower(store, TopicName("topic", keyed = true), listener, timer) { pace }.also { it.start() }
    }
}
