package plantainturn.request.quarantine

import plantainturn.process.time.Moment

/** The evidence against one trait since it was last known to be answered. */
internal class TraitCase {
    private class Counted(
        val value: RequestBreak,
        val until: Moment,
    )

    private val counted = ArrayDeque<Counted>()

    /** When the block of the trait ends; null if it is not blocked. */
    var blockedUntil: Moment? = null

    /** From when on a blocked trait may be tried again. */
    var trialAt: Moment = Moment.ORIGIN

    /** The number of trials since the trait was blocked. */
    var trials: Int = 0

    /** Until when this node may make the trial that it has claimed; null if it has claimed none. */
    var grantedUntil: Moment? = null

    fun add(
        value: RequestBreak,
        until: Moment,
    ) {
        counted += Counted(value, until)
        if (counted.size > MAXIMUM_BREAKS_KEPT) counted.removeFirst()
    }

    /** Removes the break of [request] at the run of [evidence]. */
    fun withdraw(
        request: RequestFingerprint,
        evidence: CrashEvidence,
    ) {
        counted.removeAll { it.value.traits.request == request && it.value.evidence == evidence }
    }

    /** Returns the breaks that still count at [now]. */
    fun breaks(now: Moment): List<RequestBreak> = counted.filter { it.until > now }.map { it.value }

    private companion object {
        /** Far more than are needed to block a trait; the rest would only be repetitions. */
        const val MAXIMUM_BREAKS_KEPT = 64
    }
}
