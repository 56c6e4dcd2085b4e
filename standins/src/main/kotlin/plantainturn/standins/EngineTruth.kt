package plantainturn.standins

import kotlinx.serialization.Serializable
import plantainturn.connection.engine.OrderIdentifier
import plantainturn.connection.engine.Resident

/**
 * What [EngineStandIn] holds and did, without any lag.
 *
 * @property overcommits how often a load took more memory than there is
 * @property mostMegabytes the most memory that weights ever took, the cache's reserve not counted
 * @property moves loads, unloads and role changes that took effect
 * @property ordersApplied orders that took effect or failed for good, in that order
 * @property ordersFailed orders that could not take effect
 * @property executions attempts that began to run, by request identifier
 * @property tokensGenerated tokens that were generated
 * @property refusedNotRun requests that were refused as not run
 * @property resumeMismatches attempts whose resumed text was not the answer's
 * @property crashes crashes since the process started
 */
@Serializable
public data class EngineTruth(
    val incarnation: String,
    val residents: List<Resident>,
    val usedMegabytes: Long,
    val overcommits: Long,
    val mostMegabytes: Long,
    val moves: Long,
    val ordersApplied: List<OrderIdentifier>,
    val ordersFailed: List<OrderIdentifier>,
    val executions: Map<String, Int>,
    val tokensGenerated: Long,
    val refusedNotRun: Long,
    val resumeMismatches: Long,
    val cancelled: Long,
    val crashes: Long,
    val running: Int,
    val waiting: Int,
    val faults: EngineFaults,
)
