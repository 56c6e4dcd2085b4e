package plantainturn.daemon.settings

import kotlinx.serialization.Serializable

/**
 * The timing of a planned stop.
 *
 * @property balancerLagMilliseconds how long the balancer may still send callers after readiness ends
 * @property limitMilliseconds how long running requests may take to end
 */
@Serializable
public data class StopSettings(
    val balancerLagMilliseconds: Long = DEFAULT_BALANCER_LAG_MILLISECONDS,
    val limitMilliseconds: Long = DEFAULT_LIMIT_MILLISECONDS,
) {
    private companion object {
        const val DEFAULT_BALANCER_LAG_MILLISECONDS = 3_000L
        const val DEFAULT_LIMIT_MILLISECONDS = 60_000L
    }
}
