package plantainturn.standins

import kotlinx.serialization.Serializable
import plantainturn.connection.log.StoredRecord

/**
 * What one stream of [LogStandIn] holds.
 *
 * @property oldest the offset of the oldest kept record
 * @property end the offset that the next record will get
 */
@Serializable
public data class LogStreamTruth(
    val oldest: Long,
    val end: Long,
    val bytesAppended: Long,
    val records: List<StoredRecord>,
)
