package plantainturn.request.relay

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The deployment's bound on requests that are given to a further instance, for each service.
 *
 * @property ratio repetitions for each request in a window
 * @property fixed repetitions beyond that in a window, over all nodes
 * @property usedShare part of the bound that is used
 */
public data class RepetitionSettings(
    val ratio: Double,
    val fixed: Double,
    val window: Duration,
    val usedShare: Double = 0.7,
) {
    public companion object {
        /** Stricter than any deployment's bound; used when the platform names none. */
        public val STRICT: RepetitionSettings = RepetitionSettings(ratio = 0.1, fixed = 10.0, window = 10.seconds)
    }
}
