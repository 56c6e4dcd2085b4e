package plantainturn.connection.upstream

import kotlinx.collections.immutable.PersistentMap
import plantainturn.version.configuration.UpstreamName

/** Gives what this node knows of the upstreams of the configuration in force. */
public interface UpstreamDirectory {
    /** Returns the present views. The call is cheap and does no input or output. */
    public fun views(): PersistentMap<UpstreamName, UpstreamView>

    /** Tells the directory that an exchange with [upstream] succeeded. */
    public fun reportSuccess(upstream: UpstreamName)

    /** Tells the directory that an exchange with [upstream] failed in a way that the upstream is to blame for. */
    public fun reportFailure(upstream: UpstreamName)
}
