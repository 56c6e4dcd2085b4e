package plantainturn.connection.engine

import kotlinx.serialization.Serializable

/** An order to a model engine. An engine applies an order once, however often it arrives. */
@Serializable
public data class EngineOrder(
    val identifier: OrderIdentifier,
    val action: EngineAction,
)
