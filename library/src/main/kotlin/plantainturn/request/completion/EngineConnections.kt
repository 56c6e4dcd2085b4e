package plantainturn.request.completion

import plantainturn.connection.engine.ModelEngine
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification

/** Provides connections to model engines. */
public fun interface EngineConnections {
    /** Returns the engine [name] as described by [specification]. The call is cheap and does no I/O. */
    public fun connect(
        name: UpstreamName,
        specification: UpstreamSpecification,
    ): ModelEngine
}
