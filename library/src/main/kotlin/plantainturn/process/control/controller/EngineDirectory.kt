package plantainturn.process.control.controller

import plantainturn.connection.engine.ModelEngine
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification

/** Provides the connection to an engine. */
public fun interface EngineDirectory {
    /** Returns the engine at the address in [specification]. Called for every exchange, so it must be cheap. */
    public fun engine(
        upstream: UpstreamName,
        specification: UpstreamSpecification,
    ): ModelEngine
}
