package plantainturn.connection.store

import org.junit.jupiter.api.Test
import plantainturn.connection.log.LogOffset
import plantainturn.process.time.VirtualTimerService
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The store refuses a node's reads while it serves those of others, or refuses all. */
class RefusedReaderTest {
    private val timer = VirtualTimerService()
    private val store = FakeRecordStore(timer).apply { readsHearRecords = true }
    private var calls = 0
    private val counted = CountedRecordStore(ObservableStore()) { _, _ -> calls++ }
    private val heard = ArrayList<String>()
    private var isInformed = true

    @Test
    fun `the store does not count as lost to a node that a peer informs, and the node asks it rarely`() {
        val peer = follower(store, ArrayList()) { ReadPace(1.seconds, Duration.ZERO) }
        val refused = follower(counted, heard, ::pace)
        timer.advance(1.seconds)
        assertEquals(peer.end, refused.end)
        store.reaches = { false }
        timer.advance(1.seconds)
        calls = 0
        timer.advance(9.seconds)

        assertTrue(calls <= 6, "$calls calls in 9 s")
        assertEquals(emptyList(), heard.filter { it == "lost" })
    }

    @Test
    fun `a node that lost the store has it back when a peer informs it`() {
        isInformed = false
        val refused = follower(counted, heard, ::pace)
        val before = refused.end
        timer.advance(100.milliseconds)
        store.reaches = { false }
        timer.advance(2.seconds)
        assertEquals("lost", heard.last())
        isInformed = true
        offer(refused, "a")

        assertEquals(listOf("lost", "regained", "a"), heard)
        assertTrue(refused.end > before)
    }

    /** Entries lapse while their writers can't reach the store, so the roster must hear that it was away. */
    @Test
    fun `an outage that a node did not notice while a peer informed it is heard of before the records after it`() {
        val refused = follower(counted, heard, ::pace)
        timer.advance(100.milliseconds)
        offer(refused, "a")
        store.reaches = { false }
        timer.advance(1.seconds)
        assertEquals(listOf("a"), heard)
        offer(refused, "b")

        assertEquals(listOf("a", "lost", "regained", "b"), heard)
    }

    @Test
    fun `the store does not count as lost to a refused node to which a peer hands records on all the time`() {
        val refused = follower(counted, heard, ::pace)
        timer.advance(100.milliseconds)
        store.reaches = { false }
        repeat(20) {
            offer(refused, "a")
            timer.advance(400.milliseconds)
        }
        store.reaches = { true }
        timer.advance(5.seconds)

        assertEquals(setOf("a"), heard.toSet())
    }

    /** Otherwise instances that left are kept for seconds as if their entries had lapsed in an outage. */
    @Test
    fun `the store was never away to a refused node if it answered a peer all the time`() {
        isInformed = false
        val refused = follower(counted, heard, ::pace)
        timer.advance(5.seconds)
        store.reaches = { false }
        timer.advance(2.seconds)
        assertEquals(listOf("lost"), heard)
        assertNull(refused.steadyFor)
        offer(refused, "a", steadyFor = 6.seconds)

        assertEquals(listOf("lost", "refuted", "a"), heard)
        assertTrue(assertNotNull(refused.steadyFor) > 6.seconds)
        repeat(10) {
            timer.advance(1.seconds)
            offer(refused, "a", steadyFor = 20.seconds)
        }
        assertEquals(setOf("a"), heard.drop(2).toSet(), "reads that fail meanwhile tell nothing")
        timer.advance(3.seconds)
        assertEquals("lost", heard.last(), "the peer is silent")
    }

    @Test
    fun `an outage that a peer noticed too is one to a refused node`() {
        isInformed = false
        val refused = follower(counted, heard, ::pace)
        timer.advance(5.seconds)
        store.reaches = { false }
        timer.advance(2.seconds)
        offer(refused, "a", steadyFor = 1.seconds)

        assertEquals(listOf("lost", "regained", "a"), heard)
        assertEquals(Duration.ZERO, refused.steadyFor)
    }

    private fun offer(
        follower: TopicFollower,
        key: String,
        steadyFor: Duration? = null,
    ) {
        val from = follower.end
        write(key)
        follower.offer(RecordsSince(from, listOf(store.records.last()), from.next()), steadyFor)
    }

    @Test
    fun `a node whose informing peer falls silent reads by itself within a second`() {
        val refused = follower(counted, heard, ::pace)
        timer.advance(100.milliseconds)
        store.reaches = { false }
        timer.advance(9.seconds)
        store.reaches = { true }
        isInformed = false
        write("a")
        timer.advance(1.seconds)

        assertEquals(listOf("a"), heard.filter { it == "a" })
        assertNotNull(refused.heardAt)
    }

    /** A node is not ready before it has read the instances, and a peer hands on only what follows. */
    @Test
    fun `a node whose first reading is refused reads within a second of the end of the refusal`() {
        store.reaches = { false }
        val refused = follower(counted, heard, ::pace)
        timer.advance(9.seconds)
        store.reaches = { true }
        // The fake store answers a refused call after its time-out only.
        timer.advance(1.seconds + FakeRecordStore.TIMEOUT)

        assertNotNull(refused.heardAt)
    }

    @Test
    fun `a store that is away is asked less than twice a second`() {
        isInformed = false
        follower(counted, heard, ::pace)
        timer.advance(100.milliseconds)
        store.reaches = { false }
        timer.advance(1.seconds)
        calls = 0
        timer.advance(10.seconds)

        assertTrue(calls <= 20, "$calls calls in 10 s")
    }

    @Test
    fun `a follower reads at once when the store answers reads of another topic again`() {
        isInformed = false
        val refused = follower(counted, heard) { ReadPace(500.milliseconds, Duration.ZERO, 30.seconds) }
        timer.advance(100.milliseconds)
        store.reaches = { false }
        timer.advance(60.seconds)
        store.reaches = { true }
        write("a")
        refused.onStoreAnswers()
        timer.advance(200.milliseconds)

        assertEquals(listOf("lost", "regained", "a"), heard)
    }

    private fun pace() =
        if (isInformed) {
            ReadPace(500.milliseconds, Duration.ZERO, 4.seconds, isInformedByPeer = true)
        } else {
            ReadPace(500.milliseconds, Duration.ZERO)
        }

    private fun write(key: String) {
        store.records += KeyedRecord(key, ByteArray(1), LogOffset(store.records.size.toLong()))
    }

    private fun follower(
        from: RecordStore,
        heard: MutableList<String>,
        pace: () -> ReadPace,
    ): TopicFollower {
        val listener =
            object : TopicListener {
                override fun onWhole(records: List<KeyedRecord>) = records.forEach(::onRecord)

                override fun onRecord(record: KeyedRecord) {
                    heard += record.key
                }

                override fun onLost() {
                    heard += "lost"
                }

                override fun onRegained() {
                    heard += "regained"
                }

                override fun onLossRefuted() {
                    heard += "refuted"
                }
            }
        return TopicFollower(from, TOPIC, listener, timer, random = Random(1), pace = pace).also { it.start() }
    }

    /** Tells of each call, as a store does that is reached over the network. */
    private inner class ObservableStore(
        private val onCall: (TopicName) -> Unit = {},
    ) : RecordStore by store {
        override fun observed(onCall: (TopicName) -> Unit): RecordStore = ObservableStore(onCall)

        override fun forKind(kind: StoreCallKind): RecordStore = this

        override fun readNewest(
            topic: TopicName,
            done: (StoreReadResult) -> Unit,
        ) {
            onCall(topic)
            store.readNewest(topic, done)
        }

        override fun read(
            topic: TopicName,
            from: LogOffset,
            wait: Duration,
            done: (StoreReadResult) -> Unit,
        ) {
            onCall(topic)
            store.read(topic, from, wait, done)
        }
    }

    private companion object {
        val TOPIC = TopicName("topic", keyed = true)
    }
}
