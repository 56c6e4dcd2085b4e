package plantainturn.connection.upstream

/**
 * The number of requests that this node allows itself at one upstream, adapted to what it observes there.
 *
 * Observations are gathered in windows. The limit falls by a factor when too many first tokens of a window were late,
 * and rises by a part when few were and the limit was in use. Not safe for use by several threads.
 *
 * @param expected requests that the upstream is expected to run at once; the limit starts there and never goes above
 *   twice that
 */
public class ConcurrencyLimit(
    expected: Int,
) {
    private var maximum = ceilingOf(expected)
    private var exact = expected.coerceAtLeast(MINIMUM).toDouble()
    private var observed = 0
    private var late = 0
    private var highestInFlight = 0

    /** Requests that may be in flight now. */
    public val value: Int get() = exact.toInt()

    /** Takes over a changed expectation; what was learnt is kept within the new bounds. */
    public fun expect(expected: Int) {
        maximum = ceilingOf(expected)
        exact = exact.coerceIn(MINIMUM.toDouble(), maximum.toDouble())
    }

    /**
     * Takes one attempt's fate into account.
     *
     * @param inTime whether its first token came within the target; false also for refusals and broken attempts
     * @param inFlight requests that were in flight when it ended or gave its first token
     */
    public fun observe(
        inTime: Boolean,
        inFlight: Int,
    ) {
        observed += 1
        if (!inTime) late += 1
        highestInFlight = maxOf(highestInFlight, inFlight)
        val window = maxOf(MINIMUM_WINDOW, value)
        if (late > window * TOLERATED_LATE_SHARE) {
            exact = (exact * DECREASE_FACTOR).coerceAtLeast(MINIMUM.toDouble())
            beginWindow()
        } else if (observed >= window) {
            if (highestInFlight * 2 >= exact) exact = (exact + increase()).coerceAtMost(maximum.toDouble())
            beginWindow()
        }
    }

    private fun increase(): Double = maxOf(1.0, exact * INCREASE_SHARE)

    private fun beginWindow() {
        observed = 0
        late = 0
        highestInFlight = 0
    }

    private companion object {
        const val MINIMUM = 1
        const val MINIMUM_WINDOW = 10
        const val TOLERATED_LATE_SHARE = 0.2
        const val DECREASE_FACTOR = 0.8
        const val INCREASE_SHARE = 0.1

        fun ceilingOf(expected: Int): Int = maxOf(MINIMUM, expected * 2)
    }
}
