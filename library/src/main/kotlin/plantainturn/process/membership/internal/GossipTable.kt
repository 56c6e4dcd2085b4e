package plantainturn.process.membership.internal

import kotlinx.collections.immutable.toPersistentList
import plantainturn.process.membership.GossipEntry
import plantainturn.process.membership.GossipJson
import plantainturn.process.membership.GossipValue
import plantainturn.process.membership.KnownVersion
import plantainturn.process.membership.MemberIdentifier
import plantainturn.process.membership.SyncRequest
import plantainturn.process.time.Moment
import java.util.TreeMap
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration.Companion.milliseconds

/**
 * Stores the newest entry of each key and queues entries to be sent.
 *
 * A new entry is queued and sent a bounded number of times. After each time it moves to the end of the queue, so that
 * all entries are sent regardless of their number. Each message has room for one protective value first; the rest is
 * filled with membership entries, protective values and other values, in that order.
 */
internal class GossipTable {
    private class StoredEntry(
        val entry: GossipEntry,
        val publishedAt: Moment,
        val bytes: Int,
    ) {
        fun isExpired(now: Moment): Boolean = entry is GossipEntry.Published && now - publishedAt > entry.value.lifetime
    }

    private val lock = ReentrantLock()
    private val stored = TreeMap<String, StoredEntry>()
    private val memberQueue = LinkedHashMap<String, Int>()
    private val protectiveQueue = LinkedHashMap<String, Int>()
    private val valueQueue = LinkedHashMap<String, Int>()

    /** Stores [entry] if it is newer than the stored one, and queues it to be sent [transmissions] times. */
    fun merge(
        entry: GossipEntry,
        transmissions: Int,
        now: Moment,
    ): Boolean =
        lock.withLock {
            val present = stored[entry.key]
            if (present != null && present.entry.version >= entry.version) return false
            stored[entry.key] =
                StoredEntry(entry, publishedAt(entry, now), GossipJson.bytesOf(entry) + ENTRY_SLACK_BYTES)
            queueOf(entry)[entry.key] = transmissions
            true
        }

    fun get(key: String): GossipEntry? = lock.withLock { stored[key]?.entry }

    /** Returns all entries with the moment at which they were published. */
    fun all(): List<Pair<GossipEntry, Moment>> = lock.withLock { stored.values.map { it.entry to it.publishedAt } }

    /** Removes the values that [member] published, and its membership entry too if [includingMembership]. */
    fun removeMember(
        member: MemberIdentifier,
        includingMembership: Boolean,
    ) {
        lock.withLock {
            val removed =
                stored.values
                    .map { it.entry }
                    .filter { it.member == member && (includingMembership || it is GossipEntry.Published) }
            removed.forEach { remove(it.key) }
        }
    }

    /** Removes the values whose lifetime has passed. */
    fun expire(now: Moment) {
        lock.withLock {
            val expired = stored.values.filter { it.isExpired(now) }
            expired.forEach { remove(it.entry.key) }
        }
    }

    /** Returns the value published under [key], or null if there is none or it is older than half its lifetime. */
    fun freshValue(
        key: String,
        now: Moment,
    ): GossipValue? =
        lock.withLock {
            val found = stored[key] ?: return null
            val value = (found.entry as? GossipEntry.Published)?.value ?: return null
            value.takeIf { now - found.publishedAt <= it.lifetime / 2 }
        }

    /** Dequeues the next entries to be sent that fit in [bytes]. */
    fun nextToSend(
        bytes: Int,
        now: Moment,
    ): List<GossipEntry> =
        lock.withLock {
            val budget = ByteBudget(bytes)
            val first = take(protectiveQueue, budget, now, limit = 1)
            val others = listOf(memberQueue, protectiveQueue, valueQueue).flatMap { take(it, budget, now) }
            (first + others).distinctBy { it.key }
        }

    /** Returns a request with the stored versions starting at key [from], as many as fit in [bytes]. */
    fun syncRequest(
        from: String,
        bytes: Int,
    ): SyncRequest =
        lock.withLock {
            val budget = ByteBudget(bytes)
            val known = mutableListOf<KnownVersion>()
            for ((key, entry) in stored.tailMap(from)) {
                if (!budget.tryTake(key.length + KNOWN_VERSION_BYTES)) {
                    return SyncRequest(from, key, known.toPersistentList())
                }
                known += KnownVersion(key, entry.entry.version)
            }
            SyncRequest(from, null, known.toPersistentList())
        }

    /** Returns the entries that the sender of [request] lacks, in key order, as many as fit in [bytes]. */
    fun answerSync(
        request: SyncRequest,
        bytes: Int,
        now: Moment,
    ): SyncAnswer =
        lock.withLock {
            val known = request.known.associate { it.key to it.version }
            val to = request.to
            val range =
                if (to == null) {
                    stored.tailMap(request.from)
                } else {
                    stored.subMap(request.from, maxOf(request.from, to))
                }
            val budget = ByteBudget(bytes)
            val entries = mutableListOf<GossipEntry>()
            for ((key, entry) in range) {
                if ((known[key] ?: Long.MIN_VALUE) >= entry.entry.version) continue
                if (!budget.tryTake(entry.bytes)) return SyncAnswer(entries, key)
                entries += withAge(entry, now)
            }
            SyncAnswer(entries, to)
        }

    private fun take(
        queue: LinkedHashMap<String, Int>,
        budget: ByteBudget,
        now: Moment,
        limit: Int = Int.MAX_VALUE,
    ): List<GossipEntry> {
        val taken = mutableListOf<GossipEntry>()
        for (key in queue.keys.take(limit)) {
            val entry = stored.getValue(key)
            if (!budget.tryTake(entry.bytes)) break
            taken += withAge(entry, now)
            val remaining = (queue.remove(key) ?: 1) - 1
            if (remaining > 0) queue[key] = remaining
        }
        return taken
    }

    private fun remove(key: String) {
        stored.remove(key)
        listOf(memberQueue, protectiveQueue, valueQueue).forEach { it.remove(key) }
    }

    private fun queueOf(entry: GossipEntry): LinkedHashMap<String, Int> =
        when (entry) {
            is GossipEntry.Membership -> memberQueue
            is GossipEntry.Published -> if (entry.value.protective) protectiveQueue else valueQueue
        }

    private fun publishedAt(
        entry: GossipEntry,
        now: Moment,
    ): Moment = if (entry is GossipEntry.Published) now - entry.ageMilliseconds.milliseconds else now

    private fun withAge(
        stored: StoredEntry,
        now: Moment,
    ): GossipEntry {
        val entry = stored.entry
        if (entry !is GossipEntry.Published) return entry
        return entry.copy(ageMilliseconds = (now - stored.publishedAt).inWholeMilliseconds)
    }

    private companion object {
        const val ENTRY_SLACK_BYTES = 30
        const val KNOWN_VERSION_BYTES = 44
    }
}

/** Tracks the bytes that remain for a message. */
internal class ByteBudget(
    private var remaining: Int,
) {
    /** Reserves [bytes] and returns true if that many remain. */
    fun tryTake(bytes: Int): Boolean {
        if (bytes > remaining) return false
        remaining -= bytes
        return true
    }
}

/** The entries that a peer lacked; [syncedTo] is the key from which it continues, or null at the end of the keys. */
internal class SyncAnswer(
    val entries: List<GossipEntry>,
    val syncedTo: String?,
)
