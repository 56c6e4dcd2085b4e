package plantainturn.replay

import kotlinx.collections.immutable.PersistentList

/** How a replay ended. */
public sealed interface ReplayResult {
    /**
     * The replay ran.
     *
     * @property minutes the same measures minute by minute
     */
    public data class Completed(
        val report: ReplayReport,
        val minutes: PersistentList<ReplayMinute>,
        val outcomes: ReplayOutcomes,
    ) : ReplayResult

    /** The trace can't be replayed; [faults] names every fault with its line. */
    public data class BadTrace(
        val faults: PersistentList<String>,
    ) : ReplayResult
}
