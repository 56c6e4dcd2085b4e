package plantainturn.relay.peer

import kotlinx.serialization.Serializable

/**
 * The issuer's answer to a [PermitWish].
 *
 * @property granted whether the node may send one request now
 * @property wait milliseconds after which another request for a permit is useful, if it was not granted
 */
@Serializable
internal data class PermitGrant(
    val granted: Boolean,
    val wait: Long,
)
