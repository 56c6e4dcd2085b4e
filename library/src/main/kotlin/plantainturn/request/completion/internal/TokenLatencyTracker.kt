package plantainturn.request.completion.internal

import plantainturn.process.time.Moment
import kotlin.time.Duration

/** Watches the time between the tokens of one attempt. Meant for one thread. */
internal class TokenLatencyTracker(
    private val target: Duration,
) {
    private var lastTokenAt: Moment? = null
    private var tokens = 0
    private var lateTokens = 0

    /** Whether more than 5 in 100 tokens came later than the target after the one before. */
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
