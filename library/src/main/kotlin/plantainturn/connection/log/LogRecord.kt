package plantainturn.connection.log

import kotlinx.serialization.Serializable

/**
 * A record to append.
 *
 * @property identifier names the record across repeated appends
 * @property payload the record's content, a JSON text
 */
@Serializable
public data class LogRecord(
    val identifier: RecordIdentifier,
    val payload: String,
)
