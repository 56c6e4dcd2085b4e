package plantainturn.relay.request

import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.time.Moment

/** Tells what is known of the paths to instances. */
public interface UpstreamPaths {
    /** Returns when another node last heard [instance], null if that is not known. */
    public fun heardElsewhereAt(instance: UpstreamInstance): Moment?

    /** Returns whether other nodes have requests at [instance], so that they would hear it. */
    public fun isTriedElsewhere(instance: UpstreamInstance): Boolean

    /**
     * Opens a connection to [instance], and passes to [done] whether that succeeded and it stayed open for a moment.
     * The connection is kept for use.
     */
    public fun connect(
        instance: UpstreamInstance,
        done: (Boolean) -> Unit,
    )
}
