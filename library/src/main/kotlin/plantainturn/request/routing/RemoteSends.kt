package plantainturn.request.routing

import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName

/** Tells what other nodes say they have sent, as far as gossip has carried it here. */
public fun interface RemoteSends {
    /** Returns attempts that other nodes have begun at [upstream] since [since], less those that have ended. */
    public fun netSince(
        upstream: UpstreamName,
        since: Moment,
    ): Int

    public companion object {
        /** Knows of no sends. */
        public val NONE: RemoteSends = RemoteSends { _, _ -> 0 }
    }
}
