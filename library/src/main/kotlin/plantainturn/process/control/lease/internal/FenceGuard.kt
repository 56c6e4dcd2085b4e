package plantainturn.process.control.lease.internal

import plantainturn.connection.engine.FenceNumber
import plantainturn.process.control.lease.Lease
import plantainturn.process.time.Moment

/**
 * Guards the lease of this node and tracks higher fences that upstreams have reported.
 *
 * Thread-safe: the worker of each engine checks it before a send, while the worker of the log updates it.
 */
internal class FenceGuard {
    private var dismissed = FenceNumber.NONE

    @get:Synchronized
    var lease: Lease? = null
        private set

    /** The highest reported fence above that of the lease that no read of the log has confirmed or ruled out yet. */
    @get:Synchronized
    var unverifiedFence: FenceNumber? = null
        private set

    @Synchronized
    fun grant(granted: Lease) {
        lease = granted
        unverifiedFence = null
        dismissed = FenceNumber.NONE
    }

    @Synchronized
    fun lose() {
        lease = null
        unverifiedFence = null
    }

    @Synchronized
    fun extend(
        fence: FenceNumber,
        until: Moment,
    ) {
        val held = lease?.takeIf { it.fence == fence } ?: return
        lease = held.copy(validUntil = maxOf(held.validUntil, until))
    }

    @Synchronized
    fun observeFence(fence: FenceNumber) {
        val held = lease ?: return
        if (fence <= held.fence || fence <= dismissed) return
        unverifiedFence = maxOf(fence, unverifiedFence ?: fence)
    }

    /** Records that a read of the log that began after [fence] was reported has shown no lease with it. */
    @Synchronized
    fun dismiss(fence: FenceNumber) {
        dismissed = maxOf(dismissed, fence)
        if (unverifiedFence == fence) unverifiedFence = null
    }

    @Synchronized
    fun permits(
        fence: FenceNumber,
        refusesOldFences: Boolean,
        now: Moment,
    ): Boolean {
        val held = lease?.takeIf { it.fence == fence } ?: return false
        return unverifiedFence == null && held.permitsOrders(refusesOldFences, now)
    }
}
