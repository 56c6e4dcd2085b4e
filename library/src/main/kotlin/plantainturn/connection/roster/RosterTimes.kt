package plantainturn.connection.roster

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Divides [drain] into the delays until an instance that left without an announcement gets no more requests.
 *
 * In the worst case they add up: the entry disappears just after a read, the reader pauses, the grace passes, and the
 * next sweep drops the instance. The remainder of [drain] is for the store's answer and for requests in transit. A node
 * that relies on a peer's reads detects within [peerReadTimeout] that these have stopped, and then reads at once.
 *
 * @property drain the time within which requests to an instance must end after the store shows that it left
 */
public data class RosterTimes(
    val drain: Duration,
) {
    /** The longest pause between two reads of the entries; each read is billed. */
    val readPause: Duration = drain * READ_PAUSE_SHARE

    /** The age of a peer's last read from which a node reads the store itself. */
    val peerReadTimeout: Duration = drain * PEER_READ_TIMEOUT_SHARE

    /** How long an instance is kept after its entry disappeared: the writer may only be late. */
    val lapseGrace: Duration = drain * LAPSE_GRACE_SHARE

    /** The period of the check for instances whose grace has ended. */
    val sweepPeriod: Duration = SWEEP_PERIOD

    private companion object {
        const val READ_PAUSE_SHARE = 0.4
        const val PEER_READ_TIMEOUT_SHARE = 0.55
        const val LAPSE_GRACE_SHARE = 0.15
        val SWEEP_PERIOD = 100.milliseconds
    }
}
