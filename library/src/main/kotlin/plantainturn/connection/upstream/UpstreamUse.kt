package plantainturn.connection.upstream

import kotlin.time.Duration

/**
 * This node's use of one upstream at a moment.
 *
 * @property inFlight attempts of this node in flight there
 * @property limit attempts that this node allows itself there
 * @property netSince attempts that this node has begun since the moment asked for, less those that have ended since
 * @property firstToken the smoothed time to the first token that an idle upstream would take
 * @property loadLimit requests of all nodes at which the upstream still answers at the wanted pace
 * @property hold the smoothed time that an attempt takes from begin to end
 */
public data class UpstreamUse(
    val inFlight: Int,
    val limit: Int,
    val netSince: Int,
    val firstToken: Duration,
    val hold: Duration,
    val loadLimit: Int = Int.MAX_VALUE,
) {
    /** Whether one more attempt may begin. */
    public val hasRoom: Boolean get() = inFlight < limit
}
