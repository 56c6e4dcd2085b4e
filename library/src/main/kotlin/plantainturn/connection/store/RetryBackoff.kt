package plantainturn.connection.store

import kotlin.random.Random
import kotlin.time.Duration

/**
 * Determines the pause before each retry of a call to the store, which costs like any other.
 *
 * Pauses double with each failure, so that a store that is away is not asked often. They vary at random, so that nodes
 * that failed at the same moment do not retry at the same moment.
 *
 * @param shortest the pause after the first failure, before it varies
 */
public class RetryBackoff(
    private val shortest: Duration,
    private val random: Random,
) {
    private var failures = 0

    /** Records a failure and returns the pause before the next call, 0.7 of [longest] up to [longest] in the end. */
    public fun onFailure(longest: Duration): Duration {
        val planned = minOf(longest, shortest * (1 shl minOf(failures, MAXIMUM_DOUBLINGS)))
        failures++
        return planned * random.nextDouble(MINIMUM_FACTOR, 1.0)
    }

    /** Records a success. */
    public fun reset() {
        failures = 0
    }

    private companion object {
        const val MAXIMUM_DOUBLINGS = 10
        const val MINIMUM_FACTOR = 0.7
    }
}
