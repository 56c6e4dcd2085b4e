package plantainturn.connection.store

import plantainturn.connection.log.LogOffset
import plantainturn.process.time.TimerService
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A store in memory with one topic, whose answers take time and can be lost. */
class FakeRecordStore(
    private val timer: TimerService,
) : RecordStore {
    val records = ArrayList<KeyedRecord>()

    /** How long a call takes there and back; half of it passes before it is carried out. */
    var latency: Duration = 10.milliseconds

    /** What happens to the next appends, in order; a plain one when empty. */
    val fates = ArrayDeque<Fate>()

    /** Decides whether a call of the client reaches the store. */
    var reaches: () -> Boolean = { true }

    /** Whether long reads answer as soon as there is a record; otherwise they hear nothing until their wait is over. */
    var readsHearRecords: Boolean = false

    /** The present era; results are of the era in which the call is carried out. */
    var era = StoreEra.FIRST
        private set

    /** Comes back from a copy with the first [size] records. */
    fun restore(size: Int) {
        records.subList(minOf(size, records.size), records.size).clear()
        era = StoreEra(era.number + 1)
    }

    private fun end() = StorePosition(era, LogOffset(records.size.toLong()))

    enum class Fate { PLAIN, ANSWER_LOST, LATE }

    override fun appendAll(
        topic: TopicName,
        records: List<KeyedValue>,
        at: StorePosition?,
        done: (StoreAppendResult) -> Unit,
    ) {
        val fate = fates.removeFirstOrNull() ?: Fate.PLAIN
        if (!reaches()) {
            timer.schedule(TIMEOUT) { done(StoreAppendResult.Unknown("time-out")) }
            return
        }
        val delay = if (fate == Fate.LATE) LATENESS else latency / 2
        timer.schedule(delay) {
            val result = carryOut(records, at)
            if (fate == Fate.PLAIN) timer.schedule(latency / 2) { done(result) }
        }
        if (fate != Fate.PLAIN) timer.schedule(TIMEOUT) { done(StoreAppendResult.Unknown("time-out")) }
    }

    override fun readNewest(
        topic: TopicName,
        done: (StoreReadResult) -> Unit,
    ) {
        if (!reaches()) {
            timer.schedule(TIMEOUT) { done(StoreReadResult.Unavailable("time-out")) }
            return
        }
        timer.schedule(latency / 2) {
            val newest = records.associateBy { it.key }.values.toList()
            val end = end()
            timer.schedule(latency / 2) { done(StoreReadResult.Records(newest, end)) }
        }
    }

    override fun read(
        topic: TopicName,
        from: LogOffset,
        wait: Duration,
        done: (StoreReadResult) -> Unit,
    ) {
        if (from.value > records.size) {
            timer.schedule(latency) { done(StoreReadResult.Expired(era)) }
            return
        }
        val found = records.drop(from.value.toInt())
        if (found.isEmpty() && readsHearRecords && wait > LOOK_PERIOD) {
            timer.schedule(LOOK_PERIOD) { read(topic, from, wait - LOOK_PERIOD, done) }
            return
        }
        val delay = if (found.isEmpty()) wait else latency
        timer.schedule(delay) {
            if (!reaches()) {
                done(StoreReadResult.Unavailable("time-out"))
            } else {
                val now = records.drop(from.value.toInt())
                done(StoreReadResult.Records(now, end()))
            }
        }
    }

    private fun carryOut(
        added: List<KeyedValue>,
        at: StorePosition?,
    ): StoreAppendResult {
        val end = end()
        if (at != null && at.offset != end.offset) return StoreAppendResult.Conflict(end)
        if (at != null && at.era != era) {
            added.forEach { records += KeyedRecord(it.key, it.value, LogOffset(records.size.toLong())) }
            return StoreAppendResult.Unknown("appended in era $era")
        }
        added.forEach { records += KeyedRecord(it.key, it.value, LogOffset(records.size.toLong())) }
        return StoreAppendResult.Appended(end)
    }

    companion object {
        val LOOK_PERIOD = 5.milliseconds
        val TIMEOUT = 450.milliseconds
        val LATENESS = 3_000.milliseconds
    }
}
