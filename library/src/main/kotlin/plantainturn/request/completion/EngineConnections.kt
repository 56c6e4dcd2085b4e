package plantainturn.request.completion

import plantainturn.connection.engine.ModelEngine
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification

/** Gives the connection to a model engine. */
public fun interface EngineConnections {
    /** Returns the engine [name], which [specification] describes. The call is cheap and does no input or output. */
    public fun connect(
        name: UpstreamName,
        specification: UpstreamSpecification,
    ): ModelEngine
}
