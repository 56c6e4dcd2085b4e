package plantainturn.relay.request

import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.time.Moment

/** Tells what this node has received from the current run of an instance. */
public interface SignsOfLife {
    /** Returns whether this run of [instance] has begun to answer a request that was sent after [moment]. */
    public fun answeredSince(
        instance: UpstreamInstance,
        moment: Moment,
    ): Boolean

    /** Returns whether this run of [instance] has sent anything after [moment]. */
    public fun heardSince(
        instance: UpstreamInstance,
        moment: Moment,
    ): Boolean
}
