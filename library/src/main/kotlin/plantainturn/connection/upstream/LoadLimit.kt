package plantainturn.connection.upstream

/**
 * The load at which one upstream still answers at the wanted pace, learnt from whole answers.
 *
 * It bounds the load that all nodes together put there, as far as this node knows it, where [ConcurrencyLimit] bounds
 * this node's own share. Each slow answer lowers it by a factor and each other one raises it a little, so that it
 * settles where about 3 answers in 100 are slow. Not safe for use by several threads.
 *
 * @param expected requests that the upstream is expected to run at once; the limit stays between
 *   a quarter of that and all of it
 */
public class LoadLimit(
    private var expected: Int,
) {
    private var exact = expected.toDouble()

    /** Requests that may run or wait at the upstream for one more to be sent. */
    public val value: Int get() = maxOf(MINIMUM, exact.toInt())

    /** Takes over a changed expectation; what was learnt is kept in proportion. */
    public fun expect(value: Int) {
        exact *= value.toDouble() / expected.coerceAtLeast(1)
        expected = value
    }

    /** Takes one whole answer into account; [slow] tells whether its tokens came later than the target allows. */
    public fun observe(slow: Boolean) {
        exact = if (slow) exact * DECREASE_FACTOR else exact + INCREASE
        exact = exact.coerceIn(LEAST_SHARE * expected, expected.toDouble())
    }

    private companion object {
        const val MINIMUM = 1
        const val LEAST_SHARE = 0.25
        const val DECREASE_FACTOR = 0.92
        const val INCREASE = 0.04
    }
}
