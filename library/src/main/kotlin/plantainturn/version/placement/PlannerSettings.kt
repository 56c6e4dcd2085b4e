package plantainturn.version.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * How eagerly [DemandPlanner] follows demand.
 *
 * @property paybackTime a replica must gain more attained requests within this time than its moves cost
 * @property hysteresis the factor by which the gain must exceed the cost
 * @property minimumResidence a replica is not given up for another one sooner after its load
 * @property usableShare the share of an engine's nominal token rate up to which requests meet their targets
 * @property defaultTokensPerRequest tokens of an answer where none have been observed
 * @property tokenInterval the time between tokens at which an engine at its full concurrency is expected to run
 * @property replicaLoadsPerPlan replicas beyond the floor that one plan begins to load at most
 */
public data class PlannerSettings(
    val paybackTime: Duration = 2.minutes,
    val hysteresis: Double = 1.5,
    val minimumResidence: Duration = 90.seconds,
    val usableShare: Double = 0.7,
    val defaultTokensPerRequest: Double = 250.0,
    val tokenInterval: Duration = DEFAULT_TOKEN_INTERVAL,
    val replicaLoadsPerPlan: Int = 4,
) {
    private companion object {
        val DEFAULT_TOKEN_INTERVAL: Duration = 0.025.seconds
    }
}
