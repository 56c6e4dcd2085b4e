package plantainturn.request.completion.internal

import plantainturn.process.time.Moment
import kotlin.time.Duration

/** Tracks the time between the tokens of one attempt. Not thread-safe. */
internal class TokenLatencyTracker(
    private val target: Duration,
) {
    private var lastTokenAt: Moment? = null
    private var tokens = 0
    private var lateTokens = 0

    /** Whether more than 5 % of the tokens followed the previous one later than the target. */
    val isSlow: Boolean get() = lateTokens > MAXIMUM_LATE_SHARE * tokens

    fun recordToken(now: Moment) {
        val previousTokenAt = lastTokenAt
        lastTokenAt = now
        tokens += 1
        if (previousTokenAt != null && now - previousTokenAt > target) lateTokens += 1
    }

    private companion object {
        const val MAXIMUM_LATE_SHARE = 0.05
    }
}
