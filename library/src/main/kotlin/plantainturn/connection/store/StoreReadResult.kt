package plantainturn.connection.store

/** What a read of the store gave. */
public sealed interface StoreReadResult {
    /**
     * The records from the requested offset on, as far as one call returns them.
     *
     * @property next where to read on
     */
    public data class Records(
        val records: List<KeyedRecord>,
        val next: StorePosition,
    ) : StoreReadResult

    /** The requested records are no longer kept; read the newest record of each key instead. */
    public data class Expired(
        val era: StoreEra,
    ) : StoreReadResult

    /** There was no usable answer. */
    public data class Unavailable(
        val reason: String,
    ) : StoreReadResult
}
