package plantainturn.connection.engine

import kotlinx.serialization.Serializable

/**
 * Names an order to an upstream.
 *
 * @property fence the lease under which it was issued
 * @property sequence counts the orders of that lease, from 1
 */
@Serializable
public data class OrderIdentifier(
    val fence: FenceNumber,
    val sequence: Long,
) : Comparable<OrderIdentifier> {
    override fun compareTo(other: OrderIdentifier): Int = compareValuesBy(this, other, { it.fence }, { it.sequence })

    override fun toString(): String = "$fence.$sequence"
}
