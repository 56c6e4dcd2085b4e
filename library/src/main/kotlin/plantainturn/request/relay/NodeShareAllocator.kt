package plantainturn.request.relay

import plantainturn.process.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Divides what all nodes may use together among the processes that report; the fractions never add up to more than 1.
 *
 * Load pattern: instances refuse requests, so that repetitions are needed everywhere, while nodes are partitioned,
 * stop, restart and hand over this role. A fraction that a process may use, or may have used within a window, is not
 * given to another one. A new holder of this role knows nothing of its predecessor's processes that do not report to
 * it, so it only confirms what the others have until the fractions of the silent ones must have lapsed. Confined to one
 * thread.
 *
 * @param allocatesFrom when all fractions that another holder of this role confirmed have lapsed, except those of
 *   processes that reported
 */
public class NodeShareAllocator(
    private val terms: NodeShareTerms,
    private val allocatesFrom: Moment,
) {
    private val allocations = HashMap<String, Allocation>()

    /**
     * Records the report of a process and returns the fraction that it may use.
     *
     * @param maximumInWindow the largest fraction that it may have used in the window before its report
     * @param sequence increases with each report of the process; of one that arrives late only the arrival counts, as a
     *   sign that the process is alive
     */
    public fun renew(
        process: String,
        maximumInWindow: Double,
        sequence: Long,
        now: Moment,
    ): Double {
        allocations.values.removeIf { now - it.lastReportAt > terms.reclaimAfter }
        val allocation = allocations.getOrPut(process) { Allocation(granted = maximumInWindow) }
        allocation.lastReportAt = now
        if (sequence > allocation.sequence) {
            allocation.sequence = sequence
            allocation.maximumInWindow = maximumInWindow
        }
        if (now >= allocatesFrom) allocation.granted = fractionFor(allocation, now)
        return allocation.granted
    }

    private fun fractionFor(
        allocation: Allocation,
        now: Moment,
    ): Double {
        val reporting = allocations.values.count { now - it.lastReportAt <= ABSENT_AFTER }
        val target = 1.0 / (reporting + SPARE_PROCESSES)
        if (target <= allocation.reserved) return target
        val unallocated = 1.0 - allocations.values.sumOf { it.reserved }
        return if (unallocated < MINIMUM_INCREASE) {
            allocation.reserved
        } else {
            allocation.reserved + minOf(target - allocation.reserved, unallocated)
        }
    }

    private class Allocation(
        var granted: Double,
    ) {
        var maximumInWindow = 0.0
        var sequence = -1L
        var lastReportAt = Moment.ORIGIN

        /** The fraction that the process may use or may have used within a window. */
        val reserved: Double
            get() = maxOf(granted, maximumInWindow)
    }

    public companion object {
        /**
         * Silence after which a process is no longer counted: several missed reports.
         *
         * By then all running processes have reported to a new holder of this role.
         */
        public val ABSENT_AFTER: Duration = 1_500.milliseconds

        /** Fractions left for processes that start anew while those that they replace still count. */
        private const val SPARE_PROCESSES = 2

        /** Smaller remainders come from rounding, or are too little for one repetition in any deployment. */
        private const val MINIMUM_INCREASE = 0.001
    }
}
