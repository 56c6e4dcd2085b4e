package plantainturn.request.relay

import plantainturn.process.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Divides what all nodes may repeat among the processes that report; the parts never add up to more than all.
 *
 * Load pattern: instances refuse, and so repetitions are wanted everywhere, while nodes are cut off, end, start again
 * and hand this duty over. A part that a process may use, or may have used within a window, is not given to another
 * one. A successor in this duty knows nothing of its predecessor's processes that don't report to it, so it only
 * confirms what the others have until those that are silent can hold nothing any more. Confined to one thread.
 *
 * @param settledFrom when every part that another holder of this duty confirmed has lapsed, unless its process reported
 */
public class RepetitionShareAllocator(
    private val terms: RepetitionShareTerms,
    private val settledFrom: Moment,
) {
    private val holdings = HashMap<String, Holding>()

    /**
     * Takes in the report of a process and returns the part that it may use.
     *
     * @param largest the largest part that it may have used in the window before its report
     * @param sequence grows with each report of the process; one that arrives late only counts as a sign of life
     */
    public fun renew(
        process: String,
        largest: Double,
        sequence: Long,
        now: Moment,
    ): Double {
        holdings.values.removeIf { now - it.heardAt > terms.reclaimAfter }
        val holding = holdings.getOrPut(process) { Holding(told = largest) }
        holding.heardAt = now
        if (sequence > holding.sequence) {
            holding.sequence = sequence
            holding.largest = largest
        }
        if (now >= settledFrom) holding.told = partFor(holding, now)
        return holding.told
    }

    private fun partFor(
        holding: Holding,
        now: Moment,
    ): Double {
        val reporting = holdings.values.count { now - it.heardAt <= ABSENT_AFTER }
        val wanted = 1.0 / (reporting + SPARE_PROCESSES)
        if (wanted <= holding.bound) return wanted
        val free = 1.0 - holdings.values.sumOf { it.bound }
        return if (free < LEAST_PART) holding.bound else holding.bound + minOf(wanted - holding.bound, free)
    }

    private class Holding(
        var told: Double,
    ) {
        var largest = 0.0
        var sequence = -1L
        var heardAt = Moment.ORIGIN

        /** What the process may use or may have used within a window. */
        val bound: Double
            get() = maxOf(told, largest)
    }

    public companion object {
        /** Several missed reports; by then all processes that run have reported to a new holder of this duty. */
        public val ABSENT_AFTER: Duration = 1_500.milliseconds

        /** Parts that are left for processes that start anew while those before them still count. */
        private const val SPARE_PROCESSES = 2

        /** Less than this is what rounding leaves, or too little for one repetition of any deployment. */
        private const val LEAST_PART = 0.001
    }
}
