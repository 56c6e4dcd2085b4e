package plantainturn.standins

import kotlinx.serialization.Serializable

/**
 * The body with which [ServiceStandIn] answers a call.
 *
 * @property execution the number of the execution, counted over all calls
 */
@Serializable
public data class ServiceAnswer(
    val service: String,
    val execution: Long,
    val method: String,
    val path: String,
    val key: String? = null,
    val request: String? = null,
    val bodyBytes: Int = 0,
)
