package plantainturn.connection.engine

import kotlinx.serialization.Serializable

/**
 * The fencing number of a controller's lease.
 *
 * It only grows and is never reused; of two orders with different fences the one with the higher fence comes from the
 * later holder.
 */
@Serializable
@JvmInline
public value class FenceNumber(
    public val value: Long,
) : Comparable<FenceNumber> {
    override fun compareTo(other: FenceNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** Below the fence of every lease. */
        public val NONE: FenceNumber = FenceNumber(-1)
    }
}
