package plantainturn.version.configuration

import kotlinx.serialization.Serializable

/**
 * How the deployment weighs its two measures.
 *
 * @property attainmentWeight the worth of one more request that meets its target
 * @property moveWeight the cost of one load, unload or role change
 */
@Serializable
public data class Objective(
    val attainmentWeight: Double = 1.0,
    val moveWeight: Double = 1.0,
)
