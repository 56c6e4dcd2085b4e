package plantainturn.version.configuration

import kotlinx.collections.immutable.PersistentList
import kotlinx.serialization.Serializable

/** An immutable list that is written as a JSON array. */
public typealias SerializableList<T> =
    @Serializable(PersistentListSerializer::class)
    PersistentList<T>
