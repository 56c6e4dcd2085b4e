package plantainturn.version.route

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds on what a caller may send, and on how long it may take or stay idle.
 *
 * @property headerBytes the request line and all headers
 */
public data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
) {
    public companion object {
        /** Holds until the first configuration is known; any request is then refused anyway. */
        public val INITIAL: CallerLimits =
            CallerLimits(
                headerBytes = 16_384,
                bodyBytes = 4_194_304,
                headerTimeout = 3_000.milliseconds,
                idleTimeout = 15.seconds,
            )
    }
}
