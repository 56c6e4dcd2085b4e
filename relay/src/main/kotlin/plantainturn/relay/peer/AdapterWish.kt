package plantainturn.relay.peer

import kotlinx.serialization.Serializable

/** A node's request to the issuer for an adapter at one of [candidates], which are ordered by preference. */
@Serializable
internal data class AdapterWish(
    val service: String,
    val model: String,
    val adapter: String,
    val candidates: List<String>,
)
