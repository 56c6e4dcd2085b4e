package plantainturn.request.relay

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * For how long parts of what all nodes may repeat are held.
 *
 * @property window the window in which repetitions are counted
 * @property term how long a node may use its part after it sent the report by which the part was confirmed
 * @property margin how much longer a part counts as held, for nodes whose clock stood still while they were suspended
 */
public data class RepetitionShareTerms(
    val window: Duration,
    val term: Duration = 6.seconds,
    val margin: Duration = 5.seconds,
) {
    /** The time after a node's last report when nothing of its part is used or was used within a window. */
    public val reclaimAfter: Duration
        get() = term + window + margin
}
