package plantainturn.connection.engine

import kotlinx.serialization.Serializable

/** An engine's answer to an order whose fence is lower than [highestFence], which it has seen. */
@Serializable
public data class StaleFenceAnswer(
    val highestFence: FenceNumber,
)
