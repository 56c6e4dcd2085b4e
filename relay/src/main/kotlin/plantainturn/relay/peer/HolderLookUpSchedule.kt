package plantainturn.relay.peer

import plantainturn.process.control.lease.StoreLease
import plantainturn.process.time.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Determines when a node that hears no issuer reads the lease to learn who holds it; each reading is billed.
 *
 * A reading that shows the same holder as before tells that nobody has taken over. Nobody can before a contender has
 * waited for the lease to lapse, so the next reading follows after that.
 *
 * @param contenderWait how long a contender waits from when it read the holder's last record
 */
internal class HolderLookUpSchedule(
    private val contenderWait: Duration,
    private val random: Random,
) {
    private var lastAt: Moment? = null
    private var recordAtLast: StoreLease.HolderRecord? = null
    private var unchanged = 0
    private var jitter = 0.0

    /**
     * Returns whether a reading is due, and if so counts it as made.
     *
     * @param record the lease's record as last read, null if it names no holder that may have died
     */
    fun takeDue(
        record: StoreLease.HolderRecord?,
        now: Moment,
    ): Boolean {
        val last = lastAt
        val isUnchanged = record != null && record == recordAtLast
        if (last != null && now - last < pause(isUnchanged)) return false
        unchanged = if (isUnchanged) unchanged + 1 else 0
        lastAt = now
        recordAtLast = record
        jitter = random.nextDouble()
        return true
    }

    /** Records that the holder answered, so that a next silence is a new one. */
    fun reset() {
        unchanged = 0
        recordAtLast = null
    }

    private fun pause(isUnchanged: Boolean): Duration =
        when {
            !isUnchanged -> INTERVAL
            unchanged == 0 -> contenderWait + CLAIM_TIME * (1 + jitter)
            else -> INTERVAL * (1 + jitter)
        }

    private companion object {
        val INTERVAL = 400.milliseconds

        /** Several times the duration of a claim. */
        val CLAIM_TIME = 150.milliseconds
    }
}
