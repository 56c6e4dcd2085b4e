package plantainturn.connection.store

/**
 * The records of a topic from [from] on up to [next], without a gap.
 *
 * @property next the position that follows the last one read, which may have been of a record that changed nothing
 */
public data class RecordsSince(
    val from: StorePosition,
    val records: List<KeyedRecord>,
    val next: StorePosition,
) {
    /**
     * Returns the first records of these, at most [count] with keys and values of at most [bytes] together, up to the
     * position that follows them; null if the first one is too large.
     */
    public fun atMost(
        count: Int,
        bytes: Int,
    ): RecordsSince? {
        val sizes = records.runningFold(0) { sum, record -> sum + record.key.length + (record.value?.size ?: 0) }
        val taken = minOf(count, sizes.drop(1).takeWhile { it <= bytes }.size)
        return when (taken) {
            records.size -> this
            0 -> null
            else -> copy(records = records.take(taken), next = next.copy(offset = records[taken - 1].offset.next()))
        }
    }
}
