package plantainturn.connection.log

import kotlinx.serialization.Serializable

/** The position of a record in a stream. The first record of a stream has offset 0. */
@Serializable
@JvmInline
public value class LogOffset(
    public val value: Long,
) : Comparable<LogOffset> {
    /** Returns the offset that follows this one. */
    public fun next(): LogOffset = LogOffset(value + 1)

    override fun compareTo(other: LogOffset): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** The offset of the first record of a stream. */
        public val FIRST: LogOffset = LogOffset(0)
    }
}
