package plantainturn.daemon.settings

import kotlinx.serialization.Serializable

/**
 * Where a server listens.
 *
 * @property address the IP number to bind
 * @property port the TCP port; 0 lets the system pick one
 */
@Serializable
public data class ListenSettings(
    val address: String,
    val port: Int,
)
