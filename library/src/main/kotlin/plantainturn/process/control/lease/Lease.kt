package plantainturn.process.control.lease

import plantainturn.connection.engine.FenceNumber
import plantainturn.process.time.Moment

/**
 * A lease from the point of view of its holder.
 *
 * @property fence the fencing token under which orders are issued
 * @property grantedAt when this process read the record that granted the lease
 * @property validUntil when the term of the last renewal that this process has read back ends
 */
public data class Lease(
    val fence: FenceNumber,
    val grantedAt: Moment,
    val validUntil: Moment,
) {
    /**
     * Returns whether an order may be sent now.
     *
     * An upstream that refuses old fences rejects a superseded holder by itself, so the last holder may continue to
     * send orders there when it cannot renew. On all others it stops at the end of its term.
     */
    public fun permitsOrders(
        refusesOldFences: Boolean,
        now: Moment,
    ): Boolean = refusesOldFences || now < validUntil
}
