package plantainturn.connection.log

import kotlin.time.Duration

/** Reads the records of [stream] from the platform's log. */
public class LogRecordSource(
    private val log: LogService,
    private val stream: StreamName,
) : RecordSource {
    override fun read(
        from: LogOffset,
        limit: Int,
        wait: Duration,
    ): ReadResult = log.read(stream, from, limit, wait)
}
