package plantainturn.connection.log

import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration

/**
 * The records of a stream that this node keeps for its peers: those that its newest snapshot does not cover.
 *
 * To a peer it looks like the log with a shorter retention. Memory is bounded: past [limitCharacters] of payload the
 * oldest records go, and peers find no start here until the next snapshot.
 */
public class PeerRecordStore(
    private val limitCharacters: Long = DEFAULT_LIMIT_CHARACTERS,
) : RecordSource {
    private val records = ArrayDeque<StoredRecord>()
    private var characters = 0L
    private var end = LogOffset.FIRST
    private var serving = false

    /** Adds the record that follows those already added. */
    @Synchronized
    public fun add(stored: StoredRecord) {
        serving = true
        records.addLast(stored)
        characters += stored.record.payload.length
        end = stored.offset.next()
        while (characters > limitCharacters) removeOldest()
    }

    /** Drops the records before [offset], which a snapshot covers. */
    @Synchronized
    public fun startAt(offset: LogOffset) {
        while (records.isNotEmpty() && records.first().offset < offset) removeOldest()
    }

    /** Drops everything; the next record to be added is the one at [next]. */
    @Synchronized
    public fun clear(next: LogOffset) {
        records.clear()
        characters = 0
        end = next
    }

    /** Reads kept records. Does not wait: [wait] has no effect. */
    @Synchronized
    override fun read(
        from: LogOffset,
        limit: Int,
        wait: Duration,
    ): ReadResult {
        if (!serving) return ReadResult.Unavailable("nothing is kept yet")
        val oldest = records.firstOrNull()?.offset ?: end
        if (from < oldest) return ReadResult.Expired(oldest)
        val skip = (from.value - oldest.value).coerceAtMost(records.size.toLong()).toInt()
        val page = records.subList(skip, (skip + limit).coerceAtMost(records.size))
        return ReadResult.Records(page.toPersistentList(), end)
    }

    private fun removeOldest() {
        characters -=
            records
                .removeFirst()
                .record.payload.length
    }

    private companion object {
        const val DEFAULT_LIMIT_CHARACTERS = 8L * 1024 * 1024
    }
}
