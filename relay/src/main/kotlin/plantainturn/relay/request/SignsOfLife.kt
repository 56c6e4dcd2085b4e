package plantainturn.relay.request

import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.time.Moment

/** Tells what this node and the others have received from the current run of an instance. */
public interface SignsOfLife {
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
