package plantainturn.request.claim

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How a node claims keys.
 *
 * @property shards the number of streams over which keys are spread, the same on all nodes
 * @property deadline the time after which a claim that was not read back is given up
 * @property abandonAfter the time after which a key's holder is no longer waited for, longer than any run should take
 * @property bodyBytes the size beyond which an answer's body is not kept
 * @property retryPause the time between two tries to write an entry that must be written
 */
public data class ClaimSettings(
    val shards: Int = 1,
    val deadline: Duration = 3.seconds,
    val abandonAfter: Duration = 60.seconds,
    val bodyBytes: Int = DEFAULT_BODY_BYTES,
    val retryPause: Duration = 500.milliseconds,
) {
    private companion object {
        const val DEFAULT_BODY_BYTES = 16_384
    }
}
