package plantainturn.connection.store

import kotlinx.serialization.Serializable
import plantainturn.connection.log.LogOffset

/**
 * A position in a topic of the store.
 *
 * Every position of a later era follows all those of earlier ones, though its offset may be lower.
 */
@Serializable
public data class StorePosition(
    val era: StoreEra,
    val offset: LogOffset,
) : Comparable<StorePosition> {
    /** Returns the position that follows this one. */
    public fun next(): StorePosition = copy(offset = offset.next())

    override fun compareTo(other: StorePosition): Int = compareValuesBy(this, other, { it.era }, { it.offset })

    override fun toString(): String = "$era/$offset"

    public companion object {
        /** The begin of a topic in the first era. */
        public val FIRST: StorePosition = StorePosition(StoreEra.FIRST, LogOffset.FIRST)
    }
}
