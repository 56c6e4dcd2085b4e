package plantainturn.connection.log.internal

import plantainturn.connection.log.FollowResult
import plantainturn.connection.log.LogOffset
import plantainturn.connection.log.ReadResult
import plantainturn.connection.log.RecordCodec
import plantainturn.connection.log.RecordContent
import plantainturn.connection.log.RecordSource
import plantainturn.connection.log.SnapshotPart
import plantainturn.connection.log.StoredRecord
import plantainturn.connection.log.StreamFold
import plantainturn.connection.log.StreamPosition
import kotlin.time.Duration

/** Looks through a source for a snapshot from which its kept records go on. */
internal class SnapshotSearch<S>(
    private val source: RecordSource,
    private val fold: StreamFold<S, *>,
    private val pageRecords: Int,
) {
    private val assembler = SnapshotAssembler()

    /** What a search ended with. */
    sealed interface Result<out S> {
        /** A usable snapshot. */
        data class Found<S>(
            val position: StreamPosition<S>,
        ) : Result<S>

        /** None, for the reason that [result] gives. */
        data class None(
            val result: FollowResult,
        ) : Result<Nothing>
    }

    /** Searches the records from [oldest] on for a snapshot that covers all records before it. */
    fun run(oldest: LogOffset): Result<S> {
        var from = oldest
        while (true) {
            val page =
                when (val read = source.read(from, pageRecords, Duration.ZERO)) {
                    is ReadResult.Records -> read
                    is ReadResult.Expired -> return Result.None(FollowResult.SnapshotMissing(read.oldest))
                    is ReadResult.Unavailable -> return Result.None(FollowResult.Unavailable(read.reason))
                }
            page.records.firstNotNullOfOrNull { inspect(it, oldest) }?.let { return it }
            val last = page.records.lastOrNull() ?: return Result.None(FollowResult.SnapshotMissing(oldest))
            from = last.offset.next()
        }
    }

    private fun inspect(
        stored: StoredRecord,
        oldest: LogOffset,
    ): Result<S>? =
        when (val content = RecordCodec.decode(stored.record.payload, fold.rule)) {
            is RecordContent.Snapshot -> usable(content.part, stored.offset, oldest)
            is RecordContent.UnknownRule -> Result.None(FollowResult.Stopped(stored.offset, content.rule))
            is RecordContent.Entries, is RecordContent.Malformed -> null
        }

    private fun usable(
        part: SnapshotPart,
        at: LogOffset,
        oldest: LogOffset,
    ): Result<S>? {
        val text = assembler.add(part) ?: return null
        if (part.covers < oldest || part.covers > at) return null
        val position = SnapshotText.decode(fold, part.covers, text) ?: return null
        return Result.Found(position)
    }
}
