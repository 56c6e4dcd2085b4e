package plantainturn.connection.engine

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import plantainturn.version.configuration.SerializableList

/**
 * An engine's own account of itself, as it was some time ago.
 *
 * @property incarnation changes when the engine restarts, with nothing resident
 * @property sequence grows with each report of an incarnation
 * @property ageMilliseconds how old the account was when the engine sent it
 * @property highestFence the highest fence that the engine had seen
 * @property appliedOrders the latest orders that had taken effect or failed for good, oldest first
 * @property running requests that were running
 * @property waiting requests that were waiting
 * @property tokensPerSecond tokens generated a second, all requests together
 */
@Serializable
public data class EngineReport(
    val incarnation: String,
    val sequence: Long,
    val ageMilliseconds: Long,
    val highestFence: FenceNumber,
    val appliedOrders: SerializableList<OrderIdentifier> = persistentListOf(),
    val residents: SerializableList<Resident> = persistentListOf(),
    val role: EngineRole = EngineRole.MIXED,
    val memoryMegabytes: Long = 0,
    val running: Int = 0,
    val waiting: Int = 0,
    val tokensPerSecond: Double = 0.0,
)
