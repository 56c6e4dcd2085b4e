package plantainturn.process.membership

import kotlinx.serialization.Serializable

/** The version of an entry that a node holds. */
@Serializable
public data class KnownVersion(
    val key: String,
    val version: Long,
)
