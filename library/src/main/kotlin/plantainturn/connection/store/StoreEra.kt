package plantainturn.connection.store

import kotlinx.serialization.Serializable

/**
 * One history of the store.
 *
 * A store that comes back from a copy begins another era: it has lost its newest records and gives their offsets out
 * again, so offsets of different eras can't be compared.
 */
@Serializable
@JvmInline
public value class StoreEra(
    public val number: Long,
) : Comparable<StoreEra> {
    override fun compareTo(other: StoreEra): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    public companion object {
        /** The era of a store that has never come back from a copy. */
        public val FIRST: StoreEra = StoreEra(1)
    }
}
