package plantainturn.connection.log

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import plantainturn.version.configuration.SerializableList

/**
 * The log service's answer to a read.
 *
 * @property end the offset that the next record of the stream will get
 */
@Serializable
public data class ReadAnswer(
    val records: SerializableList<StoredRecord> = persistentListOf(),
    val end: LogOffset,
)
