package plantainturn.connection.roster

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The times after which an instance that left without an announcement is out of use, as parts of [drain].
 *
 * They add up: the entry goes just after a reading, the reader rests, the grace passes, and the next sweep drops the
 * instance. What is left of [drain] is for the store's answer and for a request that is already on its way.
 *
 * @property drain how soon after an instance's leaving is in the store requests to it must have ended
 */
public data class RosterTimes(
    val drain: Duration,
) {
    /** The longest rest between two readings of the entries; each reading is priced. */
    val readingRest: Duration = drain * REST_SHARE

    /** How long an instance whose entry is missing is kept: its writer may only have been late. */
    val lapseGrace: Duration = drain * GRACE_SHARE

    /** How often instances are looked at for a grace that has passed. */
    val sweepPeriod: Duration = SWEEP_PERIOD

    private companion object {
        const val REST_SHARE = 0.4
        const val GRACE_SHARE = 0.25
        val SWEEP_PERIOD = 100.milliseconds
    }
}
