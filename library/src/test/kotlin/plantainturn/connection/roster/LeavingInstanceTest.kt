package plantainturn.connection.roster

import org.junit.jupiter.api.Test
import plantainturn.connection.log.LogOffset
import plantainturn.connection.store.FakeRecordStore
import plantainturn.connection.store.KeyedRecord
import plantainturn.connection.store.ReadPace
import plantainturn.connection.store.TopicFollower
import plantainturn.connection.store.TopicListener
import plantainturn.connection.store.TopicName
import plantainturn.process.time.VirtualTimerService
import plantainturn.version.configuration.UpstreamName
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against requests to an instance after the drain time: the delays until a node drops an instance whose entry
 * disappeared add up. Found by cucu-valtellina, mix --seed 234616421942: an instance got a request 2,036 ms after its
 * entry had disappeared.
 */
class LeavingInstanceTest {
    @Test
    fun `an instance whose entry disappears gets no requests after the drain time, at any read phase`() {
        for (phase in 0 until 2_000 step 20) {
            val inUse = timeInUse(phase.milliseconds, announced = false)
            assertTrue(inUse <= DRAIN - MAXIMUM_TRANSIT, "phase $phase ms: in use for $inUse")
        }
    }

    @Test
    fun `an instance that announces its leaving gets no requests after the drain time, at any read phase`() {
        for (phase in 0 until 2_000 step 20) {
            val inUse = timeInUse(phase.milliseconds, announced = true)
            assertTrue(inUse <= DRAIN - MAXIMUM_TRANSIT, "phase $phase ms: in use for $inUse")
        }
    }

    @Test
    fun `a node that relies on a peer's reads starts reading in time when these stop`() {
        for (phase in 0 until 1_000 step 20) {
            val inUse = timeInUseBehindPeer(phase.milliseconds)
            assertTrue(inUse <= DRAIN - MAXIMUM_TRANSIT, "phase $phase ms: in use for $inUse")
        }
    }

    /** Returns how long the instance stays in use at a node whose peer's reads stop just before the instance leaves. */
    private fun timeInUseBehindPeer(phase: Duration): Duration {
        val timer = VirtualTimerService()
        val store = FakeRecordStore(timer).apply { readsHearRecords = true }
        val times = RosterTimes(DRAIN)
        val roster = InstanceRoster(times.lapseGrace)
        store.write("a", "ready")
        var peerReadAt = timer.now()
        val reliesOnPeer = { timer.now() - peerReadAt < times.peerReadTimeout }
        val pace = { ReadPace(8.seconds, if (reliesOnPeer()) 5.seconds else Duration.ZERO) }
        TopicFollower(store, TOPIC, RosterListener(roster, timer), timer, pace = pace).start()
        timer.subscribe(times.sweepPeriod) { roster.expire(timer.now()) }
        timer.advance(500.milliseconds)
        store.write("b", "ready")
        timer.advance(phase)
        peerReadAt = timer.now()
        return leaveAndAwait(store, roster, timer, announced = false)
    }

    /** Returns how long the instance stays in use after its leaving is in the store, written [phase] after a read. */
    private fun timeInUse(
        phase: Duration,
        announced: Boolean,
    ): Duration {
        val timer = VirtualTimerService()
        val store = FakeRecordStore(timer).apply { readsHearRecords = true }
        val times = RosterTimes(DRAIN)
        val roster = InstanceRoster(times.lapseGrace)
        store.write("a", "ready")
        val pace = ReadPace(8.seconds, times.readPause)
        TopicFollower(store, TOPIC, RosterListener(roster, timer), timer) { pace }.start()
        timer.subscribe(times.sweepPeriod) { roster.expire(timer.now()) }
        timer.advance(1.seconds)
        store.write("b", "ready")
        timer.advance(phase)
        return leaveAndAwait(store, roster, timer, announced)
    }

    private fun leaveAndAwait(
        store: FakeRecordStore,
        roster: InstanceRoster,
        timer: VirtualTimerService,
        announced: Boolean,
    ): Duration {
        store.write("a", if (announced) "leaving" else null)
        val leftAt = timer.now()
        while (UpstreamName("a") in roster.serving() && timer.now() - leftAt < 10.seconds) timer.advance(5.milliseconds)
        return timer.now() - leftAt
    }

    private class RosterListener(
        private val roster: InstanceRoster,
        private val timer: VirtualTimerService,
    ) : TopicListener {
        override fun onWhole(records: List<KeyedRecord>) = records.forEach(::onRecord)

        override fun onRecord(record: KeyedRecord) {
            val state = record.value?.decodeToString()
            if (state == null) {
                roster.remove(UpstreamName(record.key), timer.now())
            } else {
                roster.put(instance(record.key, state == "leaving"))
            }
        }
    }

    private companion object {
        val DRAIN = 2.seconds

        /** The longest transit time of a request: a connection is opened first, and the event loop may be busy. */
        val MAXIMUM_TRANSIT = 300.milliseconds
        val TOPIC = TopicName("servers", keyed = true)

        fun FakeRecordStore.write(
            key: String,
            value: String?,
        ) {
            records += KeyedRecord(key, value?.toByteArray(), LogOffset(records.size.toLong()))
        }
    }
}
