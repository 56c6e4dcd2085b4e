package plantainturn.request

import kotlinx.serialization.Serializable

/** Numbers the attempts of one request, from 1. */
@Serializable
@JvmInline
public value class AttemptNumber(
    public val value: Int,
) : Comparable<AttemptNumber> {
    /** Returns the number of the attempt that follows. */
    public fun next(): AttemptNumber = AttemptNumber(value + 1)

    override fun compareTo(other: AttemptNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** The number of the first attempt. */
        public val FIRST: AttemptNumber = AttemptNumber(1)
    }
}
