package plantainturn.connection.store

import plantainturn.connection.log.LogOffset

/** What became of an append to the store. */
public sealed interface StoreAppendResult {
    /** The record stands at [offset]. */
    public data class Appended(
        val offset: LogOffset,
    ) : StoreAppendResult

    /** Nothing was appended, because the topic ends at [end] and not where the caller expected. */
    public data class Conflict(
        val end: LogOffset,
    ) : StoreAppendResult

    /** Nothing was appended, and nothing will be. */
    public data class Refused(
        val reason: String,
    ) : StoreAppendResult

    /** The record may stand, or may be appended later if its condition still holds then. */
    public data class Unknown(
        val reason: String,
    ) : StoreAppendResult
}
