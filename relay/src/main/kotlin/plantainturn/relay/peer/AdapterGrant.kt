package plantainturn.relay.peer

import kotlinx.serialization.Serializable

/** The issuer's answer to an [AdapterWish]: the engine that now has the adapter, null if none can take it. */
@Serializable
internal data class AdapterGrant(
    val engine: String?,
)
