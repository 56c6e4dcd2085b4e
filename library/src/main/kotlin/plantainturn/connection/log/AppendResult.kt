package plantainturn.connection.log

/** What is known after an append. */
public sealed interface AppendResult {
    /** The record stands at [offset]. */
    public data class Appended(
        val offset: LogOffset,
    ) : AppendResult

    /** The service refused the append; the record does not stand in the stream. */
    public data class Refused(
        val reason: String,
    ) : AppendResult

    /** The record may stand in the stream, now or later: the answer was lost or late. */
    public data class Unknown(
        val reason: String,
    ) : AppendResult
}
