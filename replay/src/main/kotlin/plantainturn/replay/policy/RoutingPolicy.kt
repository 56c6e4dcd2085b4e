package plantainturn.replay.policy

import plantainturn.replay.world.RequestRun
import plantainturn.replay.world.UpstreamStatus

/** Decides where requests go and which wait. A waiting request whose deadline passes is ended by the dispatcher. */
internal interface RoutingPolicy {
    /** Sends a new request or keeps it. */
    fun arrived(run: RequestRun)

    /** Decides on a request that provably was not run where it was sent. */
    fun refused(run: RequestRun)

    /** Decides on a request whose engine died under it. */
    fun broken(run: RequestRun)

    /** Notes that a request that was sent to [status] is no longer there. */
    fun left(
        run: RequestRun,
        status: UpstreamStatus,
    )

    /** Notes that [status] gave the whole answer. */
    fun finished(
        run: RequestRun,
        status: UpstreamStatus,
    )

    /** Runs every [TICK_MILLISECONDS]. */
    fun tick()

    companion object {
        const val TICK_MILLISECONDS = 100L
    }
}
