package plantainturn.process.membership

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import plantainturn.version.configuration.SerializableList

/**
 * Lists the versions that a node holds in a range of keys, so that a peer can send the entries that the node lacks.
 *
 * @property from the first key of the range
 * @property to the exclusive end of the range, or null for the end of the keys
 * @property known the keys that the node holds in the range, with their versions, in key order
 */
@Serializable
public data class SyncRequest(
    val from: String = "",
    val to: String? = null,
    val known: SerializableList<KnownVersion> = persistentListOf(),
)
