package plantainturn.process.time

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * An exponentially decaying sum, from which a rate can be read. Confined to one thread.
 *
 * @param timeConstant the time after which an amount counts for 1/e of its value
 */
public class DecayingSum(
    timeConstant: Duration,
) {
    private val timeConstantSeconds = timeConstant.toDouble(DurationUnit.SECONDS)
    private var sum = 0.0
    private var lastUpdate = Moment.ORIGIN

    /** Adds [amount] at [now]. */
    public fun add(
        amount: Double,
        now: Moment,
    ) {
        decay(now)
        sum += amount
    }

    /** Multiplies the sum by [factor] at [now], for example to take back a part of the amounts added. */
    public fun scale(
        factor: Double,
        now: Moment,
    ) {
        decay(now)
        sum *= factor
    }

    /** Returns the sum, decayed to [now]. */
    public fun value(now: Moment): Double {
        decay(now)
        return sum
    }

    /** Returns the amount added per second, as an average over about one time constant. */
    public fun perSecond(now: Moment): Double = value(now) / timeConstantSeconds

    private fun decay(now: Moment) {
        sum *= exp(-(now - lastUpdate).toDouble(DurationUnit.SECONDS) / timeConstantSeconds)
        lastUpdate = now
    }
}
