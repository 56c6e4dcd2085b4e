package plantainturn.request

import kotlinx.serialization.Serializable

/** The number of an attempt of a request, counted from 1. */
@Serializable
@JvmInline
public value class AttemptNumber(
    public val value: Int,
) : Comparable<AttemptNumber> {
    /** Returns the number of the next attempt. */
    public fun next(): AttemptNumber = AttemptNumber(value + 1)

    override fun compareTo(other: AttemptNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** The number of the first attempt. */
        public val FIRST: AttemptNumber = AttemptNumber(1)
    }
}
