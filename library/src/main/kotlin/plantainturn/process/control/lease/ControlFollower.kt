package plantainturn.process.control.lease

import org.apache.logging.log4j.LogManager
import plantainturn.connection.log.LogOffset
import plantainturn.connection.log.LogService
import plantainturn.connection.log.ReadResult
import plantainturn.connection.log.StoredRecord
import plantainturn.connection.log.StreamName
import plantainturn.process.control.lease.internal.ControlCodec
import plantainturn.process.control.lease.internal.DecodedEntry
import plantainturn.process.control.lease.internal.GapScan
import kotlin.time.Duration

/**
 * Reads a control stream and folds its entries into a [ControlState].
 *
 * Not thread-safe: used by one thread at a time.
 *
 * @param onRepositioned called after the reader has skipped a gap and continues at a snapshot or claim
 * @param listener called for each folded entry, in order, with the verdict on it
 */
internal class ControlFollower(
    private val log: LogService,
    private val stream: StreamName,
    private val onRepositioned: () -> Unit,
    private val listener: (StoredRecord, ControlEntry, LeaseVerdict) -> Unit,
) {
    private val logger = LogManager.getLogger(ControlFollower::class.java)

    /** The state before the record at [next]. */
    var state: ControlState = ControlState.EMPTY
        private set

    /** The offset of the next record to fold. */
    var next: LogOffset = LogOffset.FIRST
        private set

    /** The number of entries folded since the last snapshot. */
    var recordsSinceSnapshot: Int = 0
        private set

    /** The oldest retained offset when a gap was found, if no entry since then affects the lease; otherwise null. */
    var idleFrom: LogOffset? = null
        private set

    var status: ControlStatus = ControlStatus.BEHIND
        private set

    /** Reads and folds records up to the current end of the stream. */
    fun readToEnd() {
        do {
            status = readPage()
        } while (status == ControlStatus.BEHIND)
    }

    private fun readPage(): ControlStatus {
        if (status == ControlStatus.UNKNOWN_RULE) return status
        return when (val result = log.read(stream, next, PAGE_RECORDS, Duration.ZERO)) {
            is ReadResult.Records -> foldPage(result)
            is ReadResult.Expired -> startAfterGap(result.oldest)
            is ReadResult.Unavailable -> ControlStatus.UNAVAILABLE
        }
    }

    private fun foldPage(page: ReadResult.Records): ControlStatus {
        for (stored in page.records) {
            if (!foldRecord(stored)) return ControlStatus.UNKNOWN_RULE
        }
        if (next < page.end && page.records.isNotEmpty()) return ControlStatus.BEHIND
        return ControlStatus.FOLLOWING
    }

    private fun foldRecord(stored: StoredRecord): Boolean {
        when (val decoded = ControlCodec.decode(stored.record.payload)) {
            is DecodedEntry.Known -> foldEntry(stored, decoded.entry)
            DecodedEntry.Malformed -> logger.warn("Skipped a malformed record of {} at {}", stream, stored.offset)
            is DecodedEntry.UnknownRule -> {
                logger.error(
                    "Unknown rule version {} in {} at {}; no longer following the stream",
                    decoded.rule,
                    stream,
                    stored.offset,
                )
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

    private fun startAfterGap(oldest: LogOffset): ControlStatus =
        when (val scan = GapScan.of(log, stream, oldest)) {
            is GapScan.Start -> startAt(scan)
            is GapScan.Idle -> ControlStatus.GAP.also { idleFrom = idleFrom ?: scan.oldest }
            GapScan.Busy -> ControlStatus.GAP.also { idleFrom = null }
        }

    /** Continues at [scan], unless it lies before [next]: the reader never moves backwards. */
    private fun startAt(scan: GapScan.Start): ControlStatus {
        if (scan.next < next) return ControlStatus.GAP
        state = scan.state
        next = scan.next
        idleFrom = null
        onRepositioned()
        return ControlStatus.BEHIND
    }

    private companion object {
        const val PAGE_RECORDS = 500
    }
}
