package plantainturn.standins.internal

import kotlinx.collections.immutable.toPersistentList
import plantainturn.connection.log.LogOffset
import plantainturn.connection.log.LogRecord
import plantainturn.connection.log.ReadResult
import plantainturn.connection.log.StoredRecord
import plantainturn.process.time.Moment
import plantainturn.standins.LogStandInSettings
import plantainturn.standins.LogStreamTruth
import java.util.concurrent.CompletableFuture
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration.Companion.milliseconds

/** One stream of the log, under its own lock. */
internal class LogStream(
    private val settings: LogStandInSettings,
) {
    private class Kept(
        val stored: StoredRecord,
        val appendedAt: Moment,
    )

    private val lock = ReentrantLock()
    private val kept = ArrayDeque<Kept>()
    private val waiting = mutableListOf<CompletableFuture<Unit>>()
    private var end = 0L
    private var keptBytes = 0L
    private var appendedBytes = 0L

    /** Appends [record] and wakes those that wait for it. */
    fun append(
        record: LogRecord,
        now: Moment,
    ): LogOffset {
        val woken: List<CompletableFuture<Unit>>
        val offset: LogOffset
        lock.withLock {
            offset = LogOffset(end++)
            kept.addLast(Kept(StoredRecord(offset, record), now))
            keptBytes += record.payload.length
            appendedBytes += record.payload.length
            expire(now)
            woken = waiting.toList()
            waiting.clear()
        }
        woken.forEach { it.complete(Unit) }
        return offset
    }

    /** Reads what is kept from [from] on. */
    fun read(
        from: LogOffset,
        limit: Int,
        now: Moment,
    ): ReadResult =
        lock.withLock {
            expire(now)
            val oldest = oldestOffset()
            if (from.value < oldest) return ReadResult.Expired(LogOffset(oldest))
            val skipped = (from.value - oldest).coerceAtMost(kept.size.toLong()).toInt()
            val last = (skipped + limit).coerceAtMost(kept.size)
            val records = kept.subList(skipped, last).map { it.stored }
            ReadResult.Records(records.toPersistentList(), LogOffset(end))
        }

    /** Returns a future that completes with the next append, at once if there is a record at [from]. */
    fun awaitRecord(from: LogOffset): CompletableFuture<Unit> =
        lock.withLock {
            if (from.value < end) return CompletableFuture.completedFuture(Unit)
            CompletableFuture<Unit>().also(waiting::add)
        }

    /** Forgets a future that nobody waits for any more. */
    fun forget(future: CompletableFuture<Unit>) {
        lock.withLock { waiting.remove(future) }
    }

    fun truth(): LogStreamTruth =
        lock.withLock { LogStreamTruth(oldestOffset(), end, appendedBytes, kept.map { it.stored }) }

    private fun oldestOffset(): Long = end - kept.size

    private fun expire(now: Moment) {
        val keepFrom = now - settings.retentionMilliseconds.milliseconds
        while (kept.isNotEmpty() && mustExpire(kept.first(), keepFrom)) {
            keptBytes -=
                kept
                    .removeFirst()
                    .stored.record.payload.length
        }
    }

    private fun mustExpire(
        first: Kept,
        keepFrom: Moment,
    ): Boolean =
        kept.size > settings.retentionRecords || keptBytes > settings.retentionBytes || first.appendedAt < keepFrom
}
