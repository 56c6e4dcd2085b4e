package plantainturn.connection.store

/**
 * The records of a topic from [from] on up to [next], without a gap.
 *
 * @property next where the topic ended when they were read
 */
public data class RecordsSince(
    val from: StorePosition,
    val records: List<KeyedRecord>,
    val next: StorePosition,
)
