package plantainturn.connection.store

import org.junit.jupiter.api.Test
import plantainturn.connection.log.LogOffset
import plantainturn.process.time.VirtualTimerService
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Load pattern: a hundred servers repeat their entries each second, and few of these change. */
class TopicNewsTest {
    private val timer = VirtualTimerService()
    private val store = FakeRecordStore(timer).apply { readsHearRecords = true }
    private val values = HashMap<String, String>()
    private val heard = ArrayList<String>()
    private val follower = TopicFollower(store, TOPIC, Listener(), timer) { ReadPace(1.seconds, Duration.ZERO) }

    @Test
    fun `records that change nothing are neither heard nor kept for peers`() {
        write("a", "ready")
        follower.start()
        timer.advance(1.seconds)
        val from = follower.end

        repeat(300) { write("a", "ready") }
        write("b", "ready")
        repeat(300) { write("b", "ready") }
        timer.advance(3.seconds)

        assertEquals(listOf("b=ready"), heard)
        val since = assertNotNull(follower.since(from), "a peer can still be told")
        assertEquals(listOf("b"), since.records.map { it.key })
        assertEquals(LogOffset(602), since.next.offset)
    }

    private fun write(
        key: String,
        value: String,
    ) {
        store.records += KeyedRecord(key, value.toByteArray(), LogOffset(store.records.size.toLong()))
    }

    private inner class Listener : TopicListener {
        override fun onWhole(records: List<KeyedRecord>) {
            records.forEach { values[it.key] = it.value?.decodeToString().orEmpty() }
        }

        override fun isNews(record: KeyedRecord): Boolean = values[record.key] != record.value?.decodeToString()

        override fun onRecord(record: KeyedRecord) {
            values[record.key] = record.value?.decodeToString().orEmpty()
            heard += "${record.key}=${values[record.key]}"
        }
    }

    private companion object {
        val TOPIC = TopicName("servers", keyed = true)
    }
}
