package plantainturn.standins

import kotlinx.serialization.Serializable

/**
 * Settings of [ServiceStandIn].
 *
 * @property port 0 lets the system pick one
 * @property latencyMilliseconds how long a call takes
 * @property haltOnCrash whether a crash ends the process; otherwise it only breaks the connection
 */
@Serializable
public data class ServiceStandInSettings(
    val name: String = "service",
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val latencyMilliseconds: Long = 5,
    val haltOnCrash: Boolean = false,
)
