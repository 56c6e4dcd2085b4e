package plantainturn.connection.store

import plantainturn.connection.log.LogOffset
import kotlin.time.Duration

/**
 * The platform's store, as topics of keyed records with conditional appends.
 *
 * Calls return at once and later call back exactly once, on the thread of the node's event loop. They throw nothing;
 * every failure is a result. The platform bills each call.
 */
public interface RecordStore {
    /** Returns this store for calls of the given [kind]; only a store that counts calls tells them apart. */
    public fun forKind(kind: StoreCallKind): RecordStore = this

    /** Returns this store with [onCall] called before each of its calls, further pages of a reading included. */
    public fun observed(onCall: (TopicName) -> Unit): RecordStore = this

    /**
     * Appends a record for [key].
     *
     * @param at if given, the record is appended only if the topic ends there; should the store append it in another
     *   era, the result is [StoreAppendResult.Unknown]
     */
    public fun append(
        topic: TopicName,
        key: String,
        value: ByteArray,
        at: StorePosition?,
        done: (StoreAppendResult) -> Unit,
    ): Unit = appendAll(topic, listOf(KeyedValue(key, value)), at, done)

    /** Appends all [records] in one call, or none; [at] as in [append]. */
    public fun appendAll(
        topic: TopicName,
        records: List<KeyedValue>,
        at: StorePosition?,
        done: (StoreAppendResult) -> Unit,
    )

    /** Reads the newest record of each key; the result's records are in no particular order. */
    public fun readNewest(
        topic: TopicName,
        done: (StoreReadResult) -> Unit,
    )

    /** Reads the records from [from] on, and waits up to [wait] for one if there is none yet. */
    public fun read(
        topic: TopicName,
        from: LogOffset,
        wait: Duration,
        done: (StoreReadResult) -> Unit,
    )
}
