package plantainturn.relay.peer

import kotlinx.serialization.Serializable
import plantainturn.connection.log.LogOffset
import plantainturn.connection.store.KeyedRecord
import plantainturn.connection.store.RecordsSince
import plantainturn.connection.store.StorePosition

/**
 * Records of a topic that the issuer has read and a node has not, as the issuer sends them to the node.
 *
 * @property from the offset up to which the node had read
 * @property next the end of the topic when the issuer read it
 */
@Serializable
internal data class RelayedRecords(
    val from: StorePosition,
    val next: StorePosition,
    val records: List<RelayedRecord>,
) {
    /**
     * A record with its offset.
     *
     * @property value the bytes as ISO 8859-1 text, null if the record removes the key
     */
    @Serializable
    data class RelayedRecord(
        val offset: Long,
        val key: String,
        val value: String?,
    ) {
        fun decode(): KeyedRecord = KeyedRecord(key, value?.toByteArray(Charsets.ISO_8859_1), LogOffset(offset))

        companion object {
            fun of(record: KeyedRecord): RelayedRecord =
                RelayedRecord(record.offset.value, record.key, record.value?.toString(Charsets.ISO_8859_1))
        }
    }

    fun decode(): RecordsSince =
        RecordsSince(
            from,
            records.map { it.decode() },
            next,
        )

    companion object {
        fun of(since: RecordsSince): RelayedRecords =
            RelayedRecords(
                since.from,
                since.next,
                since.records.map(RelayedRecord::of),
            )
    }
}
