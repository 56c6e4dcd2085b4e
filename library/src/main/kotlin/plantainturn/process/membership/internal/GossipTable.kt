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
 * All entries that a node holds, the newest of each key, and the turn in which they are sent.
 *
 * An entry that is new here is queued and sent a bounded number of times; each time it goes to the end of the queue,
 * so that however many there are, each gets its turn. Each message has room for one protective value first; then
 * entries about members go before values, and protective values before others.
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

    /** Takes [entry] if it is newer than what is held, and queues it to be sent [repeats] times. */
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

    /** Returns all entries with the moment of their publication. */
    fun all(): List<Pair<GossipEntry, Moment>> = lock.withLock { stored.values.map { it.entry to it.publishedAt } }

    /** Drops all that [member] published, and its own entry too if [wholly]. */
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

    /** Drops the values whose lifetime has passed. */
    fun expire(now: Moment) {
        lock.withLock {
            val expired = stored.values.filter { it.isExpired(now) }
            expired.forEach { remove(it.entry.key) }
        }
    }

    /** Returns the value that was published under [key] not longer than half its lifetime ago. */
    fun freshValue(
        key: String,
        now: Moment,
    ): GossipValue? =
        lock.withLock {
            val found = stored[key] ?: return null
            val value = (found.entry as? GossipEntry.Published)?.value ?: return null
            value.takeIf { now - found.publishedAt <= it.lifetime / 2 }
        }

    /** Takes the entries that are next to be sent and fit in [bytes]. */
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

    /** Returns the versions held from the key [from] on, as many as fit in [bytes]. */
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

    /** Returns what the sender of [request] lacks, in order of the keys, as much as fits in [bytes]. */
    fun answerSync(
        request: SyncRequest,
        bytes: Int,
        now: Moment,
    ): SyncAnswer =
        lock.withLock {
            val known = request.known.associate { it.key to it.version }
            val to = request.to
            val range =
                if (to ==
                    null
                ) {
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

/** Bytes that are left for a message. */
internal class ByteBudget(
    private var remaining: Int,
) {
    /** Takes [bytes] if they are left. */
    fun tryTake(bytes: Int): Boolean {
        if (bytes > remaining) return false
        remaining -= bytes
        return true
    }
}

/** What a peer lacked; [syncedTo] is the key from which it is to ask next, null if it has reached the end. */
internal class SyncAnswer(
    val entries: List<GossipEntry>,
    val syncedTo: String?,
)
