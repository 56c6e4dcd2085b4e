package plantainturn.request.relay

import kotlin.time.Duration

/**
 * What became of a [PermitRequest].
 *
 * @property identifier identifies the request
 * @property wait time until a permit should be free for another request, if this one was denied
 */
public data class PermitOutcome<T>(
    val identifier: T,
    val granted: Boolean,
    val wait: Duration,
)
