package plantainturn.process.membership

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import plantainturn.version.configuration.SerializableList

/**
 * A node's versions of the entries in a range of keys, so that a peer can send what the node lacks.
 *
 * @property from the first key of the range
 * @property to the key that follows the range, null if it reaches to the end
 * @property known the keys in the range that the node holds, in order
 */
@Serializable
public data class SyncRequest(
    val from: String = "",
    val to: String? = null,
    val known: SerializableList<KnownVersion> = persistentListOf(),
)
