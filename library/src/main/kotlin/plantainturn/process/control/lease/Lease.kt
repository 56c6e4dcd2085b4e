package plantainturn.process.control.lease

import plantainturn.connection.engine.FenceNumber
import plantainturn.process.time.Moment

/**
 * A lease as its holder knows it.
 *
 * @property fence the fence under which orders are issued
 * @property grantedAt when this process read its grant
 * @property validUntil when the term of the last renewal that was read back ends
 */
public data class Lease(
    val fence: FenceNumber,
    val grantedAt: Moment,
    val validUntil: Moment,
) {
    /**
     * Returns whether an order may be sent now.
     *
     * An upstream that refuses old fences keeps a superseded holder out by itself, so that the last holder may go on
     * when it can't renew. On all others the holder stops at its term.
     */
    public fun permitsOrders(
        refusesOldFences: Boolean,
        now: Moment,
    ): Boolean = refusesOldFences || now < validUntil
}
