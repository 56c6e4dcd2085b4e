package plantainturn.request.service

import plantainturn.connection.service.PlainService
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification

/** Gives the connection to an upstream that runs a plain service. */
public fun interface ServiceConnections {
    /** Returns the upstream [name] of [service]. The call is cheap and does no input or output. */
    public fun connect(
        service: ServiceName,
        name: UpstreamName,
        specification: UpstreamSpecification,
    ): PlainService
}
