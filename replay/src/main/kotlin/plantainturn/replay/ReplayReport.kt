package plantainturn.replay

import kotlinx.serialization.Serializable

/**
 * What a replay measured.
 *
 * @property requests requests to models and adapters
 * @property attained requests answered in full whose first token and time between tokens met their targets
 * @property accelerators accelerators of all engines
 * @property attainmentPerAccelerator attained requests an accelerator
 * @property moves loads, unloads and role changes that engines began
 * @property refusedNotRun requests that the caller was told were not run
 * @property overcommits loads that an engine began without the memory for it
 * @property unreachableModelSeconds seconds during which a model or adapter was ready on no upstream, summed over those
 *   whose floor of two copies fits in memory
 * @property duplicateExecutions executions of a non-idempotent service call beyond its first
 * @property firstTokenP95Seconds 95th percentile of the time to the first token of answered interactive requests
 */
@Serializable
public data class ReplayReport(
    val requests: Long,
    val attained: Long,
    val accelerators: Int,
    val attainmentPerAccelerator: Double,
    val moves: Long,
    val refusedNotRun: Long,
    val overcommits: Long,
    val unreachableModelSeconds: Long,
    val duplicateExecutions: Long,
    val firstTokenP95Seconds: Double,
    val seed: Long,
)
