package plantainturn.version.configuration

import kotlinx.collections.immutable.PersistentMap
import kotlinx.serialization.Serializable

/** An immutable map that is written as a JSON object. */
public typealias SerializableMap<K, V> =
    @Serializable(PersistentMapSerializer::class)
    PersistentMap<K, V>
