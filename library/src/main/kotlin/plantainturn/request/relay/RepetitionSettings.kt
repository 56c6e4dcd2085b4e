package plantainturn.request.relay

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The deployment's limit on sending requests to a further instance, for each service.
 *
 * @property ratio repetitions allowed for each request in a window
 * @property fixed repetitions allowed beyond that in a window, over all nodes
 * @property usedShare fraction of the limit that is used
 */
public data class RepetitionSettings(
    val ratio: Double,
    val fixed: Double,
    val window: Duration,
    val usedShare: Double = 0.7,
) {
    public companion object {
        /** Stricter than the limit of any deployment; used when the platform sets none. */
        public val STRICT: RepetitionSettings = RepetitionSettings(ratio = 0.1, fixed = 10.0, window = 10.seconds)
    }
}
