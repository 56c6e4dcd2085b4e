package plantainturn.request.claim

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * The keys of one team that a shard remembers: a bounded window for the detection of duplicates.
 *
 * Held keys are never evicted. Settled keys beyond [SETTLED_LIMIT] are evicted: keys without a timestamp in the order
 * of settlement, keys with one (see [KeyTimestamp]) in the order of their timestamps. [forgottenUntil] keeps the
 * latest evicted timestamp.
 *
 * @property held the keys whose run has not ended
 * @property settled the settled keys without a timestamp, in the order of settlement
 * @property settledTimed the settled keys with a timestamp
 * @property withBody the settled keys whose outcome still includes its body, in the order of settlement
 * @property bodyCharacters the total length of those bodies, in base 64 characters
 * @property forgottenUntil the latest timestamp of an evicted key in milliseconds, or [NOTHING_FORGOTTEN]
 */
public data class TeamWindow(
    val held: PersistentMap<ServiceKey, HeldKey> = persistentMapOf(),
    val settled: PersistentMap<ServiceKey, SettledKey> = persistentMapOf(),
    val settledTimed: PersistentMap<ServiceKey, SettledKey> = persistentMapOf(),
    val withBody: PersistentSet<ServiceKey> = persistentSetOf(),
    val bodyCharacters: Long = 0,
    val forgottenUntil: Long = NOTHING_FORGOTTEN,
) {
    /** Returns the settled [key], or null if it is not settled or was evicted. */
    public fun settledKey(key: ServiceKey): SettledKey? = settled[key] ?: settledTimed[key]

    /** Returns this window with [key] held. */
    internal fun hold(
        key: ServiceKey,
        value: HeldKey,
    ): TeamWindow = copy(held = held.put(key, value))

    /** Returns this window without [key]. */
    internal fun release(key: ServiceKey): TeamWindow =
        withoutBody(key).copy(
            held = held.remove(key),
            settled = settled.remove(key),
            settledTimed = settledTimed.remove(key),
        )

    /** Returns this window with [key] settled as [value]. */
    internal fun settle(
        key: ServiceKey,
        value: SettledKey,
    ): TeamWindow {
        val timed = KeyTimestamp.millisecondsOf(key.key) != null
        val added =
            copy(
                held = held.remove(key),
                settled = if (timed) settled else settled.put(key, value),
                settledTimed = if (timed) settledTimed.put(key, value) else settledTimed,
            )
        return added
            .addBody(key, value)
            .evictBodies()
            .evictUntimed()
            .evictTimed()
    }

    private fun addBody(
        key: ServiceKey,
        value: SettledKey,
    ): TeamWindow {
        val characters = bodyCharactersOf(value)
        if (characters == 0) return this
        return copy(withBody = withBody.add(key), bodyCharacters = bodyCharacters + characters)
    }

    private fun evictBodies(): TeamWindow {
        var window = this
        while (window.bodyCharacters > BODY_CHARACTERS_LIMIT) {
            window = window.evictBody(window.withBody.first())
        }
        return window
    }

    private fun evictBody(key: ServiceKey): TeamWindow =
        withoutBody(key).copy(
            settled = withTruncatedBody(settled, key),
            settledTimed = withTruncatedBody(settledTimed, key),
        )

    /** Returns this window without the body of [key] in [withBody] and [bodyCharacters]. */
    private fun withoutBody(key: ServiceKey): TeamWindow {
        if (key !in withBody) return this
        val characters = settledKey(key)?.let(::bodyCharactersOf) ?: 0
        return copy(withBody = withBody.remove(key), bodyCharacters = bodyCharacters - characters)
    }

    private fun evictUntimed(): TeamWindow {
        if (settled.size <= SETTLED_LIMIT) return this
        val oldest = settled.keys.first()
        return withoutBody(oldest).copy(settled = settled.remove(oldest))
    }

    private fun evictTimed(): TeamWindow {
        if (settledTimed.size <= SETTLED_LIMIT + TIMED_EVICTION_SLACK) return this
        val byTime = settledTimed.keys.sortedBy { KeyTimestamp.millisecondsOf(it.key) }
        val evicted = byTime.take(settledTimed.size - SETTLED_LIMIT)
        val latest = evicted.maxOf { KeyTimestamp.millisecondsOf(it.key) ?: NOTHING_FORGOTTEN }
        val kept = settledTimed.builder().apply { keys.removeAll(evicted.toSet()) }.build()
        val withoutEvictedBodies = evicted.fold(this) { window, key -> window.withoutBody(key) }
        return withoutEvictedBodies.copy(settledTimed = kept, forgottenUntil = maxOf(forgottenUntil, latest))
    }

    private fun withTruncatedBody(
        keys: PersistentMap<ServiceKey, SettledKey>,
        key: ServiceKey,
    ): PersistentMap<ServiceKey, SettledKey> {
        val value = keys[key] ?: return keys
        val outcome = value.outcome as? ClaimOutcome.Answered ?: return keys
        return keys.put(key, value.copy(outcome = outcome.copy(bodyBase64 = "", bodyTruncated = true)))
    }

    private fun bodyCharactersOf(value: SettledKey): Int =
        (value.outcome as? ClaimOutcome.Answered)?.bodyBase64?.length ?: 0

    public companion object {
        /** The maximum number of settled keys that are remembered, for keys with and without a timestamp separately. */
        public const val SETTLED_LIMIT: Int = 16_384

        /** The maximum total length of the remembered bodies, in base 64 characters. */
        public const val BODY_CHARACTERS_LIMIT: Long = 1_048_576

        /** The maximum number of keys that a team may hold at once in a shard. */
        public const val HELD_LIMIT: Int = 8_192

        /** The value of [forgottenUntil] while no key with a timestamp was evicted. */
        public const val NOTHING_FORGOTTEN: Long = -1

        private const val TIMED_EVICTION_SLACK = SETTLED_LIMIT / 8
    }
}
