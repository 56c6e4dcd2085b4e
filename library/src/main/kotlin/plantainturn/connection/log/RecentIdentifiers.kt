package plantainturn.connection.log

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet

/**
 * The identifiers of the last records of a stream, by which a record that was appended twice is recognised.
 *
 * The window is counted in records, so every reader that reaches an offset holds the same one, also when it started
 * at a snapshot. A copy that arrives later than the window is left to the fold, which is idempotent by its state.
 */
public class RecentIdentifiers private constructor(
    private val identifiers: PersistentSet<RecordIdentifier>,
) {
    /** Whether [identifier] is among the last records. */
    public operator fun contains(identifier: RecordIdentifier): Boolean = identifier in identifiers

    /** Returns the window after a record with [identifier]. */
    public operator fun plus(identifier: RecordIdentifier): RecentIdentifiers {
        val grown = identifiers.add(identifier)
        return RecentIdentifiers(if (grown.size > WINDOW_RECORDS) grown.remove(grown.first()) else grown)
    }

    /** Returns the identifiers, the oldest first. */
    public fun toList(): List<RecordIdentifier> = identifiers.toList()

    override fun equals(other: Any?): Boolean = other is RecentIdentifiers && other.toList() == toList()

    override fun hashCode(): Int = identifiers.hashCode()

    override fun toString(): String = toList().toString()

    public companion object {
        /** The number of records in the window. */
        public const val WINDOW_RECORDS: Int = 512

        /** The window before the first record. */
        public val NONE: RecentIdentifiers = RecentIdentifiers(persistentSetOf())

        /** Returns the window that holds [identifiers], the oldest first. */
        public fun of(identifiers: List<RecordIdentifier>): RecentIdentifiers =
            RecentIdentifiers(identifiers.takeLast(WINDOW_RECORDS).toPersistentSet())
    }
}
