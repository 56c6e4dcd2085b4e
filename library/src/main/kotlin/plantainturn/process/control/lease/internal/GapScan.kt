package plantainturn.process.control.lease.internal

import plantainturn.connection.log.LogOffset
import plantainturn.connection.log.LogService
import plantainturn.connection.log.ReadResult
import plantainturn.connection.log.StoredRecord
import plantainturn.connection.log.StreamName
import plantainturn.process.control.lease.ControlEntry
import plantainturn.process.control.lease.ControlState
import kotlin.time.Duration

/** Where a reader can start if the beginning of a control stream has expired. */
internal sealed interface GapScan {
    /** The reader can start at [next], with [state] as the state before that record. */
    data class Start(
        val next: LogOffset,
        val state: ControlState,
    ) : GapScan

    /** The reader cannot start yet; none of the retained records, from [oldest] on, affects the lease. */
    data class Idle(
        val oldest: LogOffset,
    ) : GapScan

    /** The reader cannot start yet; the stream is in use, so a snapshot will follow, or a read failed. */
    data object Busy : GapScan

    companion object {
        private const val PAGE_RECORDS = 500

        /** Scans [stream] from [oldest], the first retained offset, to its end. */
        fun of(
            log: LogService,
            stream: StreamName,
            oldest: LogOffset,
        ): GapScan {
            val entries = readEntries(log, stream, oldest) ?: return Busy
            val snapshot = entries.mapNotNull { it.entry as? ControlEntry.Snapshot }.lastOrNull { it.next >= oldest }
            if (snapshot != null) return Start(snapshot.next, snapshot.state)
            val first = entries.firstOrNull { it.affectsLease } ?: return Idle(oldest)
            val claim = first.entry as? ControlEntry.Claim
            val certain = claim?.oldestReadable != null && oldest <= claim.oldestReadable
            return if (certain) Start(first.offset, ControlState.EMPTY) else Busy
        }

        private fun readEntries(
            log: LogService,
            stream: StreamName,
            oldest: LogOffset,
        ): List<ScannedEntry>? {
            val entries = mutableListOf<ScannedEntry>()
            var from = oldest
            while (true) {
                val page = log.read(stream, from, PAGE_RECORDS, Duration.ZERO) as? ReadResult.Records ?: return null
                if (page.records.isEmpty()) return entries
                entries += page.records.mapNotNull(::scanned)
                from =
                    page.records
                        .last()
                        .offset
                        .next()
            }
        }

        private fun scanned(stored: StoredRecord): ScannedEntry? =
            when (val decoded = ControlCodec.decode(stored.record.payload)) {
                is DecodedEntry.Known -> ScannedEntry(stored.offset, decoded.entry)
                is DecodedEntry.UnknownRule -> ScannedEntry(stored.offset, null)
                DecodedEntry.Malformed -> null
            }
    }
}

/** An entry found by the scan; [entry] is null if its rule version is unknown to this build. */
private class ScannedEntry(
    val offset: LogOffset,
    val entry: ControlEntry?,
) {
    val affectsLease: Boolean
        get() = entry !is ControlEntry.Snapshot
}
