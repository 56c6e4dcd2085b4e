package plantainturn.request.quota

import plantainturn.process.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The parts of the quotas that processes may be using by themselves which a desk no longer hears.
 *
 * Load pattern: nodes are cut off while their callers and those of the other nodes use all that they get. What a silent
 * process may use is not granted to others until its part has lapsed, or until another process has started at its
 * address. Confined to one thread.
 *
 * @param startedAt when this desk began
 * @param hasPredecessor whether an earlier desk may have answered processes that this one has never heard
 */
public class SilentParts(
    private val startedAt: Moment,
    private val hasPredecessor: Boolean,
) {
    private val processes = HashMap<String, Process>()

    /**
     * Records a report of [process], which may use the fraction [part] of each quota by itself from now on.
     *
     * @param address where peers reach it, empty if it did not say
     */
    public fun onReport(
        process: String,
        address: String,
        part: Double,
        now: Moment,
    ) {
        processes.values.removeIf { now - it.heardAt > HELD }
        if (address.isNotEmpty()) processes.entries.removeIf { it.key != process && it.value.address == address }
        processes[process] = Process(address, part, now)
    }

    /** Returns the sum of the parts of processes that have been silent for longer than [silentAfter]. */
    public fun fraction(
        silentAfter: Duration,
        now: Moment,
    ): Double = processes.values.filter { now - it.heardAt in silentAfter..HELD }.sumOf { it.part }

    /** Returns the fraction that processes may be using which only an earlier desk has heard. */
    public fun unknownFraction(now: Moment): Double =
        if (hasPredecessor && now - startedAt <= HELD) {
            (1.0 - processes.values.sumOf { it.part }).coerceAtLeast(0.0)
        } else {
            0.0
        }

    private class Process(
        val address: String,
        val part: Double,
        val heardAt: Moment,
    )

    private companion object {
        /** The margin is for nodes whose clock stood still while they were suspended. */
        val HELD = NodeQuotas.SHARE_TERM + 5.seconds
    }
}
