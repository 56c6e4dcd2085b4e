package plantainturn.request.relay

import plantainturn.process.time.Moment
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

    /** Returns the amount added per second, as an average over about the memory. */
    public fun perSecond(now: Moment): Double {
        fade(now)
        return sum / memorySeconds
    }

    private fun fade(now: Moment) {
        sum *= exp(-(now - at).toDouble(DurationUnit.SECONDS) / memorySeconds)
        at = now
    }
}
