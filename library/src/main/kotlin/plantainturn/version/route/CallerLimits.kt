package plantainturn.version.route

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits the size of requests, the time for sending headers and the time that a connection may be idle.
 *
 * @property headerBytes maximum size of the request line and all headers together
 */
public data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
) {
    public companion object {
        /** Applies until the first configuration is known; every request is refused until then anyway. */
        public val INITIAL: CallerLimits =
            CallerLimits(
                headerBytes = 16_384,
                bodyBytes = 4_194_304,
                headerTimeout = 3_000.milliseconds,
                idleTimeout = 15.seconds,
            )
    }
}
