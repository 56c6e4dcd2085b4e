package plantainturn.connection.log

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

/**
 * When snapshots of a stream are appended.
 *
 * A snapshot must be appended well before the oldest record that readers need goes.
 *
 * @property retention how long the log keeps a record
 * @property retentionRecords how many records of the stream the log keeps at least
 * @property retentionCharacters the length of the entries of the stream that the log keeps at least, much longer than a
 * snapshot
 * @property stagger how much later each rank appends a due snapshot than the one before it
 * @property partCharacters the length of a snapshot's text beyond which it is split
 */
public data class SnapshotSettings(
    val retention: Duration = 24.hours,
    val retentionRecords: Long = DEFAULT_RETENTION_RECORDS,
    val retentionCharacters: Long = DEFAULT_RETENTION_CHARACTERS,
    val stagger: Duration = 10.seconds,
    val partCharacters: Int = DEFAULT_PART_CHARACTERS,
) {
    /** The time after a snapshot at which the next is due. */
    public val interval: Duration
        get() = retention / DIVISOR

    /** The number of records after a snapshot at which the next is due. */
    public val intervalRecords: Long
        get() = (retentionRecords / DIVISOR).coerceAtLeast(1)

    /** The length of entries after a snapshot at which the next is due. */
    public val intervalCharacters: Long
        get() = (retentionCharacters / DIVISOR).coerceAtLeast(1)

    private companion object {
        const val DIVISOR = 4
        const val DEFAULT_RETENTION_RECORDS = 100_000L
        const val DEFAULT_RETENTION_CHARACTERS = 64L * 1024 * 1024
        const val DEFAULT_PART_CHARACTERS = 64 * 1024
    }
}
