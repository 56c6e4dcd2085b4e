package plantainturn.process.control.lease

import org.apache.logging.log4j.LogManager
import plantainturn.connection.log.LogOffset
import plantainturn.connection.log.LogService
import plantainturn.connection.log.ReadResult
import plantainturn.connection.log.StoredRecord
import plantainturn.connection.log.StreamName
import plantainturn.process.control.lease.internal.ControlCodec
import plantainturn.process.control.lease.internal.DecodedEntry
import kotlin.time.Duration

/**
 * Reads a control stream and folds it. It is used by one thread at a time.
 *
 * @param listener told of each entry that was folded, with its verdict, in order
 */
internal class ControlFollower(
    private val log: LogService,
    private val stream: StreamName,
    private val listener: (StoredRecord, ControlEntry, LeaseVerdict) -> Unit,
) {
    private val logger = LogManager.getLogger(ControlFollower::class.java)

    /** The state before the record at [next]. */
    var state: ControlState = ControlState.EMPTY
        private set

    /** The offset of the next record to fold. */
    var next: LogOffset = LogOffset.FIRST
        private set

    /** Records that were folded since the last snapshot. */
    var recordsSinceSnapshot: Int = 0
        private set

    /** The oldest offset that could be read when a gap was found and no snapshot covered it, else null. */
    var gapFrom: LogOffset? = null
        private set

    var status: ControlStatus = ControlStatus.BEHIND
        private set

    /** Reads on to the end of the stream as of now. */
    fun readToEnd() {
        do {
            status = readPage()
        } while (status == ControlStatus.BEHIND)
    }

    private fun readPage(): ControlStatus {
        if (status == ControlStatus.UNKNOWN_RULE) return status
        return when (val result = log.read(stream, next, PAGE_RECORDS, Duration.ZERO)) {
            is ReadResult.Records -> foldPage(result)
            is ReadResult.Expired -> startAtSnapshot(result.oldest)
            is ReadResult.Unavailable -> ControlStatus.UNAVAILABLE
        }
    }

    private fun foldPage(page: ReadResult.Records): ControlStatus {
        for (stored in page.records) {
            if (!foldRecord(stored)) return ControlStatus.UNKNOWN_RULE
        }
        if (next < page.end && page.records.isNotEmpty()) return ControlStatus.BEHIND
        return if (gapFrom == null) ControlStatus.FOLLOWING else ControlStatus.GAP
    }

    private fun foldRecord(stored: StoredRecord): Boolean {
        when (val decoded = ControlCodec.decode(stored.record.payload)) {
            is DecodedEntry.Known -> foldEntry(stored, decoded.entry)
            DecodedEntry.Foreign -> logger.warn("Passed over a foreign record of {} at {}", stream, stored.offset)
            is DecodedEntry.UnknownRule -> {
                logger.error("Unknown rule {} in {} at {}: not following", decoded.rule, stream, stored.offset)
                return false
            }
        }
        next = stored.offset.next()
        return true
    }

    private fun foldEntry(
        stored: StoredRecord,
        entry: ControlEntry,
    ) {
        recordsSinceSnapshot = if (entry is ControlEntry.Snapshot) 0 else recordsSinceSnapshot + 1
        val step = LeaseFold.fold(state, stored.offset, entry)
        state = step.state
        listener(stored, entry, step.verdict)
    }

    private fun startAtSnapshot(oldest: LogOffset): ControlStatus {
        val snapshot = findSnapshot(oldest) ?: return ControlStatus.GAP
        state = snapshot.state
        next = snapshot.next
        return ControlStatus.BEHIND
    }

    private fun findSnapshot(oldest: LogOffset): ControlEntry.Snapshot? {
        var from = oldest
        var found: ControlEntry.Snapshot? = null
        while (true) {
            val page = log.read(stream, from, PAGE_RECORDS, Duration.ZERO) as? ReadResult.Records ?: return found
            if (page.records.isEmpty()) return found
            found = page.records.mapNotNull { snapshotOf(it, oldest) }.lastOrNull() ?: found
            from =
                page.records
                    .last()
                    .offset
                    .next()
        }
    }

    private fun snapshotOf(
        stored: StoredRecord,
        oldest: LogOffset,
    ): ControlEntry.Snapshot? {
        val known = ControlCodec.decode(stored.record.payload) as? DecodedEntry.Known
        val snapshot = known?.entry as? ControlEntry.Snapshot
        return snapshot?.takeIf { it.next >= oldest && it.next >= next }
    }

    private companion object {
        const val PAGE_RECORDS = 500
    }
}
