package plantainturn.request.completion.internal

import plantainturn.process.time.Moment
import kotlin.time.Duration

/** Watches the time between the tokens of one attempt. Meant for one thread. */
internal class TokenPace(
    private val target: Duration,
) {
    private var last: Moment? = null
    private var tokens = 0
    private var lateTokens = 0

    /** Whether more than 5 in 100 tokens came later than the target after the one before. */
    val isSlow: Boolean get() = lateTokens > LATE_SHARE * tokens

    fun token(now: Moment) {
        val before = last
        last = now
        tokens += 1
        if (before != null && now - before > target) lateTokens += 1
    }

    private companion object {
        const val LATE_SHARE = 0.05
    }
}
