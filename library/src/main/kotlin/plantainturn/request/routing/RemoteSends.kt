package plantainturn.request.routing

import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName

/** Provides the number of attempts that other nodes have sent, as far as gossip has reported them. */
public fun interface RemoteSends {
    /** Returns the attempts that other nodes have begun at [upstream] since [since], less those that have ended. */
    public fun netSince(
        upstream: UpstreamName,
        since: Moment,
    ): Int

    public companion object {
        /** Reports no sends of other nodes. */
        public val NONE: RemoteSends = RemoteSends { _, _ -> 0 }
    }
}
