package plantainturn.process.control.lease

import kotlinx.serialization.Serializable
import plantainturn.connection.engine.EngineOrder
import plantainturn.version.configuration.UpstreamName

/** An order to [upstream] that the lease holder announces on the log before sending it. */
@Serializable
public data class IntendedOrder(
    val upstream: UpstreamName,
    val order: EngineOrder,
)
