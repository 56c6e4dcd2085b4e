package plantainturn.connection.log

import kotlin.time.Duration

/**
 * Where the records of one stream are read from: the log itself, or a peer that passes on exact records.
 *
 * Calls block the calling thread for as long as the implementation's timeouts allow and throw nothing.
 */
public fun interface RecordSource {
    /** Reads at most [limit] records, starting at [from], and waits up to [wait] if there is none yet. */
    public fun read(
        from: LogOffset,
        limit: Int,
        wait: Duration,
    ): ReadResult
}
