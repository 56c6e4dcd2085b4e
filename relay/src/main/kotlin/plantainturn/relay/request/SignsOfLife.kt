package plantainturn.relay.request

import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.time.Moment
import plantainturn.request.relay.ReachState

/** Tells what this node and the others have received from the current run of an instance. */
public interface SignsOfLife {
    /** Returns whether this node reaches the service of [instance]; if not, failures say nothing about the instance. */
    public fun reachOf(instance: UpstreamInstance): ReachState = ReachState.REACHED

    /** Returns whether this node was certainly cut off from the service of [instance] at any time after [moment]. */
    public fun wasCutOffSince(
        instance: UpstreamInstance,
        moment: Moment,
    ): Boolean = false

    /** Returns whether this run of [instance] has begun to answer a request that was sent after [moment]. */
    public fun answeredSince(
        instance: UpstreamInstance,
        moment: Moment,
    ): Boolean

    /** Returns whether this run of [instance] has sent anything to any node after [moment], as far as known. */
    public fun livedSince(
        instance: UpstreamInstance,
        moment: Moment,
    ): Boolean

    /** Returns whether this run of [instance] has sent this node anything after [moment]. */
    public fun heardSince(
        instance: UpstreamInstance,
        moment: Moment,
    ): Boolean
}
