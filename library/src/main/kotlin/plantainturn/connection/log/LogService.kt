package plantainturn.connection.log

import kotlin.time.Duration

/**
 * The platform's append-only log.
 *
 * Calls block the calling thread for as long as the implementation's timeouts allow and throw nothing; every failure
 * is a result. Implementations may be called from several threads.
 */
public interface LogService {
    /** Appends [record] to [stream]. */
    public fun append(
        stream: StreamName,
        record: LogRecord,
    ): AppendResult

    /**
     * Reads at most [limit] records of [stream], starting at [from].
     *
     * Waits up to [wait] for a record to arrive if there is none yet.
     */
    public fun read(
        stream: StreamName,
        from: LogOffset,
        limit: Int,
        wait: Duration,
    ): ReadResult
}
