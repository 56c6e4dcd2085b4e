package plantainturn.request.claim

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings for claiming keys.
 *
 * @property shards the number of streams over which keys are distributed; must be the same on all nodes
 * @property deadline the time after which a claim that was not read back from the log is given up
 * @property abandonAfter the time after which a held key is settled as unknown; must exceed the longest expected run
 * @property bodyBytes the largest body of an answer that is stored, in bytes
 * @property retryPause the delay between attempts to write an entry that must not be lost
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
