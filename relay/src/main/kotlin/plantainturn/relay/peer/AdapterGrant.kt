package plantainturn.relay.peer

import kotlinx.serialization.Serializable

/** The issuer's answer to an [AdapterWish]: the engine that has the adapter now, null if none could take it. */
@Serializable
internal data class AdapterGrant(
    val engine: String?,
)
