package plantainturn.standins.load.internal

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Draws the moments at which requests arrive independently of each other. */
internal object Arrivals {
    /** Returns the moments, counted from the start, of arrivals at [perSecond] within [length]. */
    fun draw(
        random: Random,
        perSecond: Double,
        length: Duration,
    ): List<Duration> {
        if (perSecond <= 0) return emptyList()
        return generateSequence(gap(random, perSecond)) { it + gap(random, perSecond) }
            .takeWhile { it < length }
            .toList()
    }

    private fun gap(
        random: Random,
        perSecond: Double,
    ): Duration = (-ln(1 - random.nextDouble()) / perSecond).seconds
}
