package plantainturn.connection.log

import kotlinx.serialization.Serializable

/** A record as it stands in a stream, with its [offset]. */
@Serializable
public data class StoredRecord(
    val offset: LogOffset,
    val record: LogRecord,
)
