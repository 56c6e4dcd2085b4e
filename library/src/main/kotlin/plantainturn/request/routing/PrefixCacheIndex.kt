package plantainturn.request.routing

import plantainturn.connection.engine.CacheEvent
import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * Tracks which upstreams are expected to have which prompt prefixes in their caches.
 *
 * Its sources are cache events, which are delayed and may have gaps, and this node's own sends, so its entries are only
 * hints. Confidence in a hint halves with each [halfLife]. A gap in an upstream's events invalidates all hints about
 * that upstream, since an eviction may have been missed. Memory is bounded. Safe for use by several threads.
 *
 * @param capacity the maximum number of remembered prefixes
 * @param halfLife the time after which the confidence in a hint has halved
 */
public class PrefixCacheIndex(
    capacity: Int = DEFAULT_CAPACITY,
    private val halfLife: Duration = DEFAULT_HALF_LIFE,
) {
    private class Hint(
        val upstream: UpstreamName,
        val generation: Long,
        val observedAt: Moment,
    )

    private class EventProgress(
        var nextSequence: Long = 0,
        var generation: Long = 0,
    )

    private class Shard(
        capacity: Int,
    ) {
        val lock = ReentrantLock()
        val hints: LinkedHashMap<Long, List<Hint>> =
            object : LinkedHashMap<Long, List<Hint>>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
                override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, List<Hint>>): Boolean =
                    size > capacity
            }
    }

    private val shards = List(SHARDS) { Shard(maxOf(1, capacity / SHARDS)) }
    private val progress = ConcurrentHashMap<UpstreamName, EventProgress>()

    /** Returns the sequence number of the next event expected from [upstream]. */
    public fun nextSequence(upstream: UpstreamName): Long {
        val progress = eventProgressOf(upstream)
        return synchronized(progress) { progress.nextSequence }
    }

    /** Records [events] of [upstream], which must be in order of sequence number. Known events are ignored. */
    public fun recordEvents(
        upstream: UpstreamName,
        events: List<CacheEvent>,
        now: Moment,
    ): Unit = events.forEach { recordEvent(upstream, it, now) }

    /** Records that this node sends a prompt with [prefixes] to [upstream], which is expected to cache them. */
    public fun recordSend(
        upstream: UpstreamName,
        prefixes: List<Long>,
        now: Moment,
    ) {
        val generation = generationOf(upstream)
        prefixes.forEach { store(it, Hint(upstream, generation, now)) }
    }

    /** Invalidates all hints about [upstream], for example after its restart. Its events are numbered from 0 again. */
    public fun forget(upstream: UpstreamName) {
        val progress = eventProgressOf(upstream)
        synchronized(progress) {
            progress.generation += 1
            progress.nextSequence = 0
        }
    }

    /** Returns the upstream with the latest hint for the longest known one of [prefixes], or null if none is known. */
    public fun longestPrefixHolder(prefixes: List<Long>): UpstreamName? {
        for (index in prefixes.indices.reversed()) {
            val hint = hintsOf(prefixes[index]).filter(::isCurrent).maxByOrNull { it.observedAt }
            if (hint != null) return hint.upstream
        }
        return null
    }

    /**
     * Returns the expected share of the prompt that [upstream] has in its cache, from 0 to 1.
     *
     * @param prefixes the hashes of the prompt's prefixes, shortest first
     */
    public fun cachedShare(
        upstream: UpstreamName,
        prefixes: List<Long>,
        now: Moment,
    ): Double {
        for (index in prefixes.indices.reversed()) {
            val hint = hintsOf(prefixes[index]).firstOrNull { it.upstream == upstream && isCurrent(it) }
            if (hint != null) return confidence(hint, now) * (index + 1) / prefixes.size
        }
        return 0.0
    }

    private fun recordEvent(
        upstream: UpstreamName,
        event: CacheEvent,
        now: Moment,
    ) {
        val progress = eventProgressOf(upstream)
        val generation =
            synchronized(progress) {
                if (event.sequence < progress.nextSequence) return
                if (event.sequence > progress.nextSequence) progress.generation += 1
                progress.nextSequence = event.sequence + 1
                progress.generation
            }
        if (event.stored) {
            store(event.prefixHash, Hint(upstream, generation, now))
        } else {
            remove(event.prefixHash, upstream)
        }
    }

    private fun store(
        prefix: Long,
        hint: Hint,
    ) {
        val shard = shardOf(prefix)
        shard.lock.withLock {
            val others = shard.hints[prefix].orEmpty().filter { it.upstream != hint.upstream }
            shard.hints[prefix] = others.takeLast(HINTS_PER_PREFIX - 1) + hint
        }
    }

    private fun remove(
        prefix: Long,
        upstream: UpstreamName,
    ) {
        val shard = shardOf(prefix)
        shard.lock.withLock {
            val others = shard.hints[prefix].orEmpty().filter { it.upstream != upstream }
            if (others.isEmpty()) shard.hints.remove(prefix) else shard.hints[prefix] = others
        }
    }

    private fun hintsOf(prefix: Long): List<Hint> {
        val shard = shardOf(prefix)
        return shard.lock.withLock { shard.hints[prefix].orEmpty() }
    }

    private fun isCurrent(hint: Hint): Boolean = hint.generation == generationOf(hint.upstream)

    private fun confidence(
        hint: Hint,
        now: Moment,
    ): Double = HALF.pow((now - hint.observedAt) / halfLife)

    private fun generationOf(upstream: UpstreamName): Long {
        val progress = eventProgressOf(upstream)
        return synchronized(progress) { progress.generation }
    }

    private fun eventProgressOf(upstream: UpstreamName): EventProgress =
        progress[upstream] ?: progress.computeIfAbsent(upstream) { EventProgress() }

    private fun shardOf(prefix: Long): Shard = shards[prefix.mod(SHARDS)]

    private companion object {
        const val SHARDS = 16
        const val DEFAULT_CAPACITY = 32_768
        const val HINTS_PER_PREFIX = 4
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
        const val HALF = 0.5
        val DEFAULT_HALF_LIFE = 5.minutes
    }
}
