package plantainturn.connection.upstream

import plantainturn.process.time.Moment
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** This node's use of one upstream. */
internal class SingleUpstreamUsage(
    private var expected: Int,
) {
    private val lock = ReentrantLock()
    private val limit = ConcurrencyLimit(expected)
    private val loadLimit = LoadLimit(expected)
    private val history = SendHistory()
    private var inFlight = 0
    private var firstToken = DEFAULT_FIRST_TOKEN
    private var firstTokenSeenAt: Moment? = null
    private var hold = DEFAULT_HOLD

    /** Counts one more attempt and returns true, unless the limit is reached. */
    fun tryBegin(
        expected: Int,
        now: Moment,
    ): Boolean =
        lock.withLock {
            expect(expected)
            if (inFlight >= limit.value) return false
            inFlight += 1
            history.begun(now)
            true
        }

    /** Takes the first token of [permit] into account, once. */
    fun firstToken(
        permit: SendPermit,
        now: Moment,
        target: Duration,
    ): Unit =
        lock.withLock {
            if (permit.firstTokenSeen) return
            permit.firstTokenSeen = true
            val latency = now - permit.begun
            limit.observe(latency <= target, inFlight)
            val unloaded = latency / (1.0 + inFlight.toDouble() / expected.coerceAtLeast(1))
            firstToken += (unloaded - firstToken) * SMOOTHING
            firstTokenSeenAt = now
        }

    /** Takes [permit] back, once. */
    fun end(
        permit: SendPermit,
        now: Moment,
        failed: Boolean,
        slow: Boolean?,
    ): Unit =
        lock.withLock {
            if (permit.ended) return
            permit.ended = true
            if (slow != null) loadLimit.observe(slow)
            if (failed) limit.observe(inTime = false, inFlight) else hold += (now - permit.begun - hold) * SMOOTHING
            inFlight -= 1
            history.ended(now)
        }

    /** Returns what the router needs, with own changes counted since [since]. */
    fun read(
        expected: Int,
        since: Moment?,
        now: Moment,
    ): UpstreamUse =
        lock.withLock {
            expect(expected)
            UpstreamUse(
                inFlight = inFlight,
                limit = limit.value,
                netSince = if (since == null) inFlight else history.netSince(since),
                firstToken = rememberedFirstToken(now),
                hold = hold,
                loadLimit = loadLimit.value,
            )
        }

    fun isIdle(): Boolean = lock.withLock { inFlight == 0 }

    private fun expect(value: Int) {
        if (value == expected) return
        expected = value
        limit.expect(value)
        loadLimit.expect(value)
    }

    /** Returns to the default as the last observation ages, so that an upstream that was slow is tried again. */
    private fun rememberedFirstToken(now: Moment): Duration {
        val seenAt = firstTokenSeenAt ?: return DEFAULT_FIRST_TOKEN
        val trust = HALF.pow((now - seenAt) / MEMORY_HALF_LIFE)
        return DEFAULT_FIRST_TOKEN + (firstToken - DEFAULT_FIRST_TOKEN) * trust
    }

    private companion object {
        const val SMOOTHING = 0.1
        const val HALF = 0.5
        val MEMORY_HALF_LIFE = 30.seconds
        val DEFAULT_FIRST_TOKEN = 100.milliseconds
        val DEFAULT_HOLD = 1.seconds
    }
}
