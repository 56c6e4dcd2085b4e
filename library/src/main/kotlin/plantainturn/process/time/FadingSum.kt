package plantainturn.process.time

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** A sum of which less and less counts with time, so that it tells a rate. Confined to one thread. */
public class FadingSum(
    memory: Duration,
) {
    private val memorySeconds = memory.toDouble(DurationUnit.SECONDS)
    private var sum = 0.0
    private var at = Moment.ORIGIN

    /** Adds [amount] at [now]. */
    public fun add(
        amount: Double,
        now: Moment,
    ) {
        fade(now)
        sum += amount
    }

    /** Multiplies the sum by [factor] at [now], as if that part of what was added had not been. */
    public fun scale(
        factor: Double,
        now: Moment,
    ) {
        fade(now)
        sum *= factor
    }

    /** Returns what is left of the sum. */
    public fun value(now: Moment): Double {
        fade(now)
        return sum
    }

    /** Returns the amount added per second, as an average over about the memory. */
    public fun perSecond(now: Moment): Double = value(now) / memorySeconds

    private fun fade(now: Moment) {
        sum *= exp(-(now - at).toDouble(DurationUnit.SECONDS) / memorySeconds)
        at = now
    }
}
