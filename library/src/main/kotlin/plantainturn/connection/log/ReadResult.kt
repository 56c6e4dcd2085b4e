package plantainturn.connection.log

import kotlinx.collections.immutable.PersistentList

/** What a read of a stream gave. */
public sealed interface ReadResult {
    /**
     * The records from the asked offset on, in order and without gaps, possibly none.
     *
     * @property end the offset that the next record of the stream will get
     */
    public data class Records(
        val records: PersistentList<StoredRecord>,
        val end: LogOffset,
    ) : ReadResult

    /** The asked offset is older than [oldest], the first that is kept. */
    public data class Expired(
        val oldest: LogOffset,
    ) : ReadResult

    /** The service did not answer. */
    public data class Unavailable(
        val reason: String,
    ) : ReadResult
}
