package plantainturn.process.control.controller

import plantainturn.version.configuration.UpstreamSpecification

/** Tells which upstreams belong to the shard that a controller issues orders for. */
public fun interface ShardSelector {
    /** Returns whether the upstream belongs to the shard. All nodes must give the same answer. */
    public fun includes(specification: UpstreamSpecification): Boolean

    public companion object {
        /** One shard for the whole deployment. */
        public val ALL: ShardSelector = ShardSelector { true }
    }
}
