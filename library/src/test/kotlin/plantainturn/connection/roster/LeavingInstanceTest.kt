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

/** Found by cucu-valtellina, mix --seed 234616421942: an instance got a request 2,036 ms after its entry had gone. */
class LeavingInstanceTest {
    @Test
    fun `an instance whose entry goes is out of use within the drain time, whenever that happens`() {
        for (phase in 0 until 2_000 step 20) {
            val late = timeInUse(phase.milliseconds, announced = false)
            assertTrue(late <= DRAIN - ON_THE_WAY, "phase $phase ms: in use for $late")
        }
    }

    @Test
    fun `an instance that announces its leaving is out of use within the drain time, whenever that happens`() {
        for (phase in 0 until 2_000 step 20) {
            val late = timeInUse(phase.milliseconds, announced = true)
            assertTrue(late <= DRAIN - ON_THE_WAY, "phase $phase ms: in use for $late")
        }
    }

    @Test
    fun `a node that relies on a peer's readings reads for itself in time when these stop`() {
        for (phase in 0 until 1_000 step 20) {
            val late = timeInUseBehindPeer(phase.milliseconds)
            assertTrue(late <= DRAIN - ON_THE_WAY, "phase $phase ms: in use for $late")
        }
    }

    /** Returns how long the instance still serves at a node whose peer lost the store just before its leaving. */
    private fun timeInUseBehindPeer(phase: Duration): Duration {
        val timer = VirtualTimerService()
        val store = FakeRecordStore(timer).apply { readsHearRecords = true }
        val times = RosterTimes(DRAIN)
        val roster = InstanceRoster(times.lapseGrace)
        store.write("a", "ready")
        var peerHeardAt = timer.now()
        val relies = { timer.now() - peerHeardAt < times.peerReadTimeout }
        val pace = { ReadPace(8.seconds, if (relies()) 5.seconds else Duration.ZERO) }
        TopicFollower(store, TOPIC, Fold(roster, timer), timer, pace = pace).start()
        timer.subscribe(times.sweepPeriod) { roster.expire(timer.now()) }
        timer.advance(500.milliseconds)
        store.write("b", "ready")
        timer.advance(phase)
        peerHeardAt = timer.now()
        return leave(store, roster, timer, announced = false)
    }

    /** Returns how long the instance still serves after its leaving is in the store, [phase] after a reading. */
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
        TopicFollower(store, TOPIC, Fold(roster, timer), timer) { pace }.start()
        timer.subscribe(times.sweepPeriod) { roster.expire(timer.now()) }
        timer.advance(1.seconds)
        store.write("b", "ready")
        timer.advance(phase)
        return leave(store, roster, timer, announced)
    }

    private fun leave(
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

    private class Fold(
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

        /** A request that was sent may take this long to arrive: a connection is made first, the loop may be busy. */
        val ON_THE_WAY = 300.milliseconds
        val TOPIC = TopicName("servers", keyed = true)

        fun FakeRecordStore.write(
            key: String,
            value: String?,
        ) {
            records += KeyedRecord(key, value?.toByteArray(), LogOffset(records.size.toLong()))
        }
    }
}
