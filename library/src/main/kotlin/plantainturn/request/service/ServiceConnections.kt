package plantainturn.request.service

import plantainturn.connection.service.PlainService
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification

/** Provides connections to upstreams that run a plain service. */
public fun interface ServiceConnections {
    /** Returns the upstream [name] of [service] as described by [specification]. The call is cheap and does no I/O. */
    public fun connect(
        service: ServiceName,
        name: UpstreamName,
        specification: UpstreamSpecification,
    ): PlainService
}
