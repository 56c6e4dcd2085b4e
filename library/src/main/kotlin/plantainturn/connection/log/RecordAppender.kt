package plantainturn.connection.log

import plantainturn.process.time.TimerService
import kotlin.time.Duration

/**
 * Appends records to one stream and settles appends whose answer was lost.
 *
 * A record of unknown fate is looked for in the stream by its identifier, and sent again under the same one if it is
 * not there. Several copies may come to stand; readers use the first. Calls block up to the deadline, beyond the log's
 * own timeouts, and throw nothing.
 */
public class RecordAppender(
    private val log: LogService,
    private val stream: StreamName,
    private val identifiers: RecordIdentifiers,
    private val timer: TimerService,
    private val pause: Pause = TimerPause(timer),
    private val settings: AppendSettings = AppendSettings(),
) {
    /** The incarnation under which records are appended. */
    public val incarnation: String
        get() = identifiers.incarnation

    /**
     * Appends a record with [payload].
     *
     * @param from an offset at or before the end of the stream; a lost record is looked for from there on
     */
    public fun append(
        payload: String,
        from: LogOffset,
    ): AppendFate {
        val record = LogRecord(identifiers.next(), payload)
        return when (val first = log.append(stream, record)) {
            is AppendResult.Appended -> AppendFate.Stands(record.identifier, first.offset)
            is AppendResult.Refused -> AppendFate.Refused(first.reason)
            is AppendResult.Unknown -> settle(record, from, first.reason)
        }
    }

    private fun settle(
        record: LogRecord,
        from: LogOffset,
        firstReason: String,
    ): AppendFate {
        val due = timer.now() + settings.deadline
        var reason = firstReason
        var searched = from
        while (timer.now() < due && !Thread.currentThread().isInterrupted) {
            when (val search = search(record.identifier, searched)) {
                is Search.Found -> return AppendFate.Stands(record.identifier, search.offset)
                is Search.Absent -> searched = search.next
                is Search.Unavailable -> reason = search.reason
            }
            when (val again = log.append(stream, record)) {
                is AppendResult.Appended -> return AppendFate.Stands(record.identifier, again.offset)
                is AppendResult.Refused -> reason = again.reason
                is AppendResult.Unknown -> reason = again.reason
            }
            pause.pause(settings.retryPause)
        }
        return AppendFate.Unknown(record.identifier, reason)
    }

    private fun search(
        identifier: RecordIdentifier,
        from: LogOffset,
    ): Search {
        var next = from
        while (true) {
            val page =
                when (val read = log.read(stream, next, PAGE_RECORDS, Duration.ZERO)) {
                    is ReadResult.Records -> read
                    is ReadResult.Expired -> return Search.Absent(read.oldest)
                    is ReadResult.Unavailable -> return Search.Unavailable(read.reason)
                }
            page.records.firstOrNull { it.record.identifier == identifier }?.let { return Search.Found(it.offset) }
            next = page.records
                .lastOrNull()
                ?.offset
                ?.next() ?: return Search.Absent(next)
        }
    }

    private sealed interface Search {
        data class Found(
            val offset: LogOffset,
        ) : Search

        data class Absent(
            val next: LogOffset,
        ) : Search

        data class Unavailable(
            val reason: String,
        ) : Search
    }

    private companion object {
        const val PAGE_RECORDS = 256
    }
}
