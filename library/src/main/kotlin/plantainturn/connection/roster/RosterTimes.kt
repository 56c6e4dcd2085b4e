package plantainturn.connection.roster

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The times after which an instance that left without an announcement is out of use, as parts of [drain].
 *
 * They add up: the entry goes just after a reading, the reader rests, the grace passes, and the next sweep drops the
 * instance. What is left of [drain] is for the store's answer and for a request that is already on its way. A node that
 * relies on a peer's readings notices within [peerReadTimeout] that these have stopped, and reads at once.
 *
 * @property drain how soon after an instance's leaving is in the store requests to it must have ended
 */
public data class RosterTimes(
    val drain: Duration,
) {
    /** The longest rest between two readings of the entries; each reading is billed. */
    val readPause: Duration = drain * REST_SHARE

    /** The age of a peer's last reading from which on a node reads for itself. */
    val peerReadTimeout: Duration = drain * PEER_SHARE

    /** How long an instance whose entry is missing is kept: its writer may only have been late. */
    val lapseGrace: Duration = drain * GRACE_SHARE

    /** How often instances are looked at for a grace that has passed. */
    val sweepPeriod: Duration = SWEEP_PERIOD

    private companion object {
        const val REST_SHARE = 0.4
        const val PEER_SHARE = 0.55
        const val GRACE_SHARE = 0.15
        val SWEEP_PERIOD = 100.milliseconds
    }
}
