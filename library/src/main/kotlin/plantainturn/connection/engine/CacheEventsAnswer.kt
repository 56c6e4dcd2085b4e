package plantainturn.connection.engine

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import plantainturn.version.configuration.SerializableList

/** An engine's answer to a read of its cache events. */
@Serializable
public data class CacheEventsAnswer(
    val events: SerializableList<CacheEvent> = persistentListOf(),
)
