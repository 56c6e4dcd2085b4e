package plantainturn.connection.upstream

import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification

/** Finds out whether an upstream that runs a plain service answers, without a call of the service. */
public fun interface ServiceProbe {
    /** Returns whether the upstream answers. Blocks up to the implementation's timeout and throws nothing. */
    public fun answers(
        upstream: UpstreamName,
        specification: UpstreamSpecification,
    ): Boolean
}
