package plantainturn.relay.peer

import kotlinx.serialization.Serializable
import plantainturn.connection.log.LogOffset
import plantainturn.connection.store.KeyedRecord
import plantainturn.connection.store.RecordsSince
import plantainturn.connection.store.StorePosition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Records of a topic that one node has and another has not, as a node sends them to the other.
 *
 * @property from the position up to which the other node had read
 * @property next the position that follows the records
 * @property steadyMilliseconds for how long the store has not been lost to the sender, null if the other node need not
 *   know
 */
@Serializable
internal data class RelayedRecords(
    val from: StorePosition,
    val next: StorePosition,
    val records: List<RelayedRecord>,
    val steadyMilliseconds: Long? = null,
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

    /** For how long the store has not been lost to the sender, null if it does not say. */
    val steadyFor: Duration?
        get() = steadyMilliseconds?.milliseconds

    fun decode(): RecordsSince =
        RecordsSince(
            from,
            records.map { it.decode() },
            next,
        )

    companion object {
        fun of(
            since: RecordsSince,
            steadyFor: Duration? = null,
        ): RelayedRecords =
            RelayedRecords(
                since.from,
                since.next,
                since.records.map(RelayedRecord::of),
                steadyFor?.inWholeMilliseconds,
            )
    }
}
