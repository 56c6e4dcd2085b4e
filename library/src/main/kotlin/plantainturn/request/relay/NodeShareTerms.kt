package plantainturn.request.relay

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Durations of the leases on fractions of what all nodes may use together.
 *
 * @property window the window in which the use of all nodes is counted
 * @property term how long a node may use its fraction, from when it sent the report that led to the confirmation
 * @property margin how much longer a fraction counts as held, for nodes whose clock stood still while suspended
 */
public data class NodeShareTerms(
    val window: Duration,
    val term: Duration = 6.seconds,
    val margin: Duration = 5.seconds,
) {
    /** Time since a node's last report after which its fraction is not in use and was not used within a window. */
    public val reclaimAfter: Duration
        get() = term + window + margin
}
