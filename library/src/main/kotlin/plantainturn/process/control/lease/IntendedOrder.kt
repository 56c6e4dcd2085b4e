package plantainturn.process.control.lease

import kotlinx.serialization.Serializable
import plantainturn.connection.engine.EngineOrder
import plantainturn.version.configuration.UpstreamName

/** An order that its holder announced on the log before it sent it to [upstream]. */
@Serializable
public data class IntendedOrder(
    val upstream: UpstreamName,
    val order: EngineOrder,
)
