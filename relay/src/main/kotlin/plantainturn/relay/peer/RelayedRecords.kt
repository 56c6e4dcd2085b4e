package plantainturn.relay.peer

import kotlinx.serialization.Serializable
import plantainturn.connection.log.LogOffset
import plantainturn.connection.store.KeyedRecord
import plantainturn.connection.store.RecordsSince

/**
 * Records of a topic that the issuer has read and a node has not.
 *
 * @property from where the node had read up to
 * @property next where the topic ended when the issuer read it
 */
@Serializable
internal data class RelayedRecords(
    val from: Long,
    val next: Long,
    val records: List<RelayedRecord>,
) {
    /**
     * One record.
     *
     * @property value its bytes as ISO 8859-1 text, null if it drops the key
     */
    @Serializable
    data class RelayedRecord(
        val offset: Long,
        val key: String,
        val value: String?,
    )

    fun decode(): RecordsSince =
        RecordsSince(
            LogOffset(from),
            records.map { KeyedRecord(it.key, it.value?.toByteArray(Charsets.ISO_8859_1), LogOffset(it.offset)) },
            LogOffset(next),
        )

    companion object {
        fun of(since: RecordsSince): RelayedRecords =
            RelayedRecords(
                since.from.value,
                since.next.value,
                since.records.map { RelayedRecord(it.offset.value, it.key, it.value?.toString(Charsets.ISO_8859_1)) },
            )
    }
}
