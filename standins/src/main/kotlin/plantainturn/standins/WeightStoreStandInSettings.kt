package plantainturn.standins

import kotlinx.serialization.Serializable
import plantainturn.version.configuration.WeightStoreLimits

/**
 * Settings of [WeightStoreStandIn].
 *
 * @property port 0 lets the system pick one
 * @property modelLoadMilliseconds how long a model takes at full speed
 * @property adapterLoadMilliseconds how long an adapter takes at full speed
 */
@Serializable
public data class WeightStoreStandInSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val limits: WeightStoreLimits = WeightStoreLimits(),
    val modelLoadMilliseconds: Long = 2_000,
    val adapterLoadMilliseconds: Long = 10,
)
