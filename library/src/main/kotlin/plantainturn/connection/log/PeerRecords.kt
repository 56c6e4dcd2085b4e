package plantainturn.connection.log

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import plantainturn.version.configuration.SerializableList

/**
 * The answer of a node to a peer that asks for exact records of a stream: `GET /peer/records?stream=…&from=…`.
 *
 * @property available whether the node keeps any record of the stream
 * @property oldest the oldest record that the node keeps, set if the asked offset is older
 * @property records the records from the asked offset on
 * @property end the offset after the last record that the node has read
 */
@Serializable
public data class PeerRecords(
    val available: Boolean,
    val oldest: LogOffset? = null,
    val records: SerializableList<StoredRecord> = persistentListOf(),
    val end: LogOffset = LogOffset.FIRST,
) {
    /** Returns the read result that this answer stands for. */
    public fun toReadResult(): ReadResult =
        when {
            !available -> ReadResult.Unavailable("the peer keeps no record of the stream")
            oldest != null -> ReadResult.Expired(oldest)
            else -> ReadResult.Records(records, end)
        }

    public companion object {
        /** Returns the answer that stands for [result]. */
        public fun of(result: ReadResult): PeerRecords =
            when (result) {
                is ReadResult.Records -> PeerRecords(true, null, result.records, result.end)
                is ReadResult.Expired -> PeerRecords(true, result.oldest)
                is ReadResult.Unavailable -> PeerRecords(false)
            }
    }
}
