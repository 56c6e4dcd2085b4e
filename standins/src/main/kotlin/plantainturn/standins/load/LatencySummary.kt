package plantainturn.standins.load

import kotlinx.serialization.Serializable

/** The distribution of durations in milliseconds; all 0 if there were none. */
@Serializable
public data class LatencySummary(
    val count: Int = 0,
    val p50: Double = 0.0,
    val p95: Double = 0.0,
    val p99: Double = 0.0,
    val maximum: Double = 0.0,
) {
    public companion object {
        private const val MEDIAN = 0.5
        private const val NINETY_FIVE = 0.95
        private const val NINETY_NINE = 0.99

        /** Returns the distribution of [milliseconds]. */
        public fun of(milliseconds: List<Double>): LatencySummary {
            if (milliseconds.isEmpty()) return LatencySummary()
            val sorted = milliseconds.sorted()
            return LatencySummary(
                count = sorted.size,
                p50 = quantile(sorted, MEDIAN),
                p95 = quantile(sorted, NINETY_FIVE),
                p99 = quantile(sorted, NINETY_NINE),
                maximum = sorted.last(),
            )
        }

        private fun quantile(
            sorted: List<Double>,
            share: Double,
        ): Double = sorted[((sorted.size - 1) * share).toInt()]
    }
}
