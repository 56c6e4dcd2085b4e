package plantainturn.process.membership

import kotlinx.serialization.Serializable

/** The version of the entry that a node holds under [key]. */
@Serializable
public data class KnownVersion(
    val key: String,
    val version: Long,
)
