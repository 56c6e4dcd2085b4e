package plantainturn.relay.node

import plantainturn.connection.log.LogOffset
import plantainturn.connection.store.KeyedRecord
import plantainturn.connection.store.KeyedValue
import plantainturn.connection.store.RecordStore
import plantainturn.connection.store.StoreAppendResult
import plantainturn.connection.store.StoreEra
import plantainturn.connection.store.StorePosition
import plantainturn.connection.store.StoreReadResult
import plantainturn.connection.store.TopicName
import plantainturn.process.time.TimerService
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** An in-memory store with one topic; waiting reads are answered as soon as there is a record. */
internal class InMemoryRecordStore(
    private val timer: TimerService,
) : RecordStore {
    val records = ArrayList<KeyedRecord>()

    /** Whether appends are refused. */
    var refusesAppends = false
    var appends = 0
        private set

    override fun appendAll(
        topic: TopicName,
        records: List<KeyedValue>,
        at: StorePosition?,
        done: (StoreAppendResult) -> Unit,
    ) {
        appends++
        if (refusesAppends) {
            done(StoreAppendResult.Refused("appends are refused"))
            return
        }
        val first = StorePosition(StoreEra.FIRST, LogOffset(this.records.size.toLong()))
        if (at != null && at != first) {
            timer.schedule(LATENCY) { done(StoreAppendResult.Conflict(first)) }
            return
        }
        records.forEach { this.records += KeyedRecord(it.key, it.value, LogOffset(this.records.size.toLong())) }
        timer.schedule(LATENCY) { done(StoreAppendResult.Appended(first)) }
    }

    override fun readNewest(
        topic: TopicName,
        done: (StoreReadResult) -> Unit,
    ) {
        val newest = records.associateBy { it.key }.values.filter { it.value != null }
        val end = StorePosition(StoreEra.FIRST, LogOffset(records.size.toLong()))
        timer.schedule(LATENCY) { done(StoreReadResult.Records(newest, end)) }
    }

    override fun read(
        topic: TopicName,
        from: LogOffset,
        wait: Duration,
        done: (StoreReadResult) -> Unit,
    ) {
        val found = records.drop(from.value.toInt())
        if (found.isEmpty() && wait.isPositive()) {
            timer.schedule(LATENCY) { read(topic, from, wait - LATENCY, done) }
        } else {
            done(StoreReadResult.Records(found, StorePosition(StoreEra.FIRST, LogOffset(from.value + found.size))))
        }
    }

    private companion object {
        val LATENCY = 10.milliseconds
    }
}
