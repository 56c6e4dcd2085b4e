package plantainturn.standins.internal

import plantainturn.connection.engine.CacheEvent
import plantainturn.connection.engine.PromptPrefix
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.standins.CachedPrefix
import plantainturn.standins.EngineStandInSettings
import plantainturn.version.configuration.ModelName
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration.Companion.milliseconds

/** An engine's cache of prompt prefixes, the least recently used evicted, whose events are late and have gaps. */
internal class PrefixCache(
    private val settings: EngineStandInSettings,
    private val timer: TimerService,
) {
    private class Happened(
        val event: CacheEvent,
        val at: Moment,
    )

    private val lock = ReentrantLock()
    private val cached = LinkedHashMap<Long, ModelName>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private val events = ArrayDeque<Happened>()
    private var nextSequence = 0L

    /** Returns how many characters of [prompt] were cached, and caches it whole. */
    fun use(
        model: ModelName,
        prompt: String,
    ): Int =
        lock.withLock {
            val hashes = PromptPrefix.hashes(model, prompt)
            val hits = hashes.takeWhile { cached[it] != null }.size
            hashes.drop(hits).forEach { store(model, it) }
            hits * PromptPrefix.BLOCK_CHARACTERS
        }

    fun contains(prefix: CachedPrefix): Boolean = lock.withLock { cached.containsKey(prefix.prefixHash) }

    fun import(prefix: CachedPrefix) {
        lock.withLock { if (!cached.containsKey(prefix.prefixHash)) store(prefix.model, prefix.prefixHash) }
    }

    /** Returns the events from sequence number [from] on that are old enough to be seen. */
    fun events(from: Long): List<CacheEvent> =
        lock.withLock {
            val seenUntil = timer.now() - settings.cacheEventLagMilliseconds.milliseconds
            events
                .filter { it.event.sequence >= from && it.at <= seenUntil }
                .take(MAXIMUM_EVENTS)
                .map { it.event }
        }

    fun restart() {
        lock.withLock {
            cached.clear()
            events.clear()
        }
    }

    private fun store(
        model: ModelName,
        hash: Long,
    ) {
        cached[hash] = model
        happened(CacheEvent(nextSequence++, model, hash, stored = true))
        while (cached.size > settings.cachedPrefixes) {
            val oldest = cached.entries.first()
            cached.remove(oldest.key)
            happened(CacheEvent(nextSequence++, oldest.value, oldest.key, stored = false))
        }
    }

    private fun happened(event: CacheEvent) {
        val every = settings.cacheEventGapEvery
        if (every > 0 && event.sequence % every == every - 1L) return
        events.addLast(Happened(event, timer.now()))
        if (events.size > KEPT_EVENTS) events.removeFirst()
    }

    private companion object {
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
        const val KEPT_EVENTS = 10_000
        const val MAXIMUM_EVENTS = 1_000
    }
}
