package plantainturn.process.control.controller

import plantainturn.connection.engine.ModelEngine
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification

/** Gives the connection to an engine. */
public fun interface EngineDirectory {
    /** Returns the engine at the address in [specification]. The call is cheap. */
    public fun engine(
        upstream: UpstreamName,
        specification: UpstreamSpecification,
    ): ModelEngine
}
