package plantainturn.connection.log

import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration

/** An in-memory log whose faults a test switches on. Reads never wait. */
class FakeLogService : LogService {
    private val streams = mutableMapOf<StreamName, MutableList<StoredRecord>>()
    private val oldest = mutableMapOf<StreamName, LogOffset>()

    /** Whether every call fails without effect. */
    var unavailable: Boolean = false

    /** How many of the next appends take effect and lose their answer. */
    var answersToLose: Int = 0

    /** How many of the next appends vanish without effect and without an answer. */
    var appendsToLose: Int = 0

    /** Called before each append takes effect, to interleave another writer. */
    var beforeAppend: (LogRecord) -> Unit = {}

    @Synchronized
    override fun append(
        stream: StreamName,
        record: LogRecord,
    ): AppendResult {
        if (unavailable) return AppendResult.Unknown("outage")
        if (appendsToLose > 0) {
            appendsToLose--
            return AppendResult.Unknown("append lost")
        }
        beforeAppend(record)
        val records = streams.getOrPut(stream) { mutableListOf() }
        val offset = records.lastOrNull()?.offset?.next() ?: oldestOf(stream)
        records += StoredRecord(offset, record)
        if (answersToLose > 0) {
            answersToLose--
            return AppendResult.Unknown("answer lost")
        }
        return AppendResult.Appended(offset)
    }

    @Synchronized
    override fun read(
        stream: StreamName,
        from: LogOffset,
        limit: Int,
        wait: Duration,
    ): ReadResult {
        if (unavailable) return ReadResult.Unavailable("outage")
        if (from < oldestOf(stream)) return ReadResult.Expired(oldestOf(stream))
        val records = streams[stream].orEmpty()
        val end = records.lastOrNull()?.offset?.next() ?: oldestOf(stream)
        val page = records.filter { it.offset >= from }.take(limit)
        return ReadResult.Records(page.toPersistentList(), end)
    }

    /** Drops the records of [stream] before [offset], as retention does. */
    @Synchronized
    fun expireBefore(
        stream: StreamName,
        offset: LogOffset,
    ) {
        oldest[stream] = offset
        streams[stream]?.removeAll { it.offset < offset }
    }

    /** Returns all kept records of [stream]. */
    @Synchronized
    fun records(stream: StreamName): List<StoredRecord> = streams[stream].orEmpty().toList()

    private fun oldestOf(stream: StreamName): LogOffset = oldest[stream] ?: LogOffset.FIRST
}
