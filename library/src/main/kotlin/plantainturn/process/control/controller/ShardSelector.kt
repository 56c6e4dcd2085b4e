package plantainturn.process.control.controller

import plantainturn.version.configuration.UpstreamSpecification

/** Selects the upstreams that belong to the shard of a controller. */
public fun interface ShardSelector {
    /** Returns whether the upstream belongs to the shard. The result must be the same on all nodes. */
    public fun includes(specification: UpstreamSpecification): Boolean

    public companion object {
        /** One shard for the whole deployment. */
        public val ALL: ShardSelector = ShardSelector { true }
    }
}
