package plantainturn.connection.store

/** What became of an append to the store. */
public sealed interface StoreAppendResult {
    /** The first record stands at [position]. */
    public data class Appended(
        val position: StorePosition,
    ) : StoreAppendResult

    /** Nothing was appended, because the topic ends at [end] and not where the caller expected. */
    public data class Conflict(
        val end: StorePosition,
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
