package plantainturn.connection.roster

/**
 * Tracks the limits on requests that instances named in their answers.
 *
 * A limit holds until the same run of the instance answers without one, or with another one. A statement replaces the
 * current one if it was certainly made later; if their order is unknown, the stricter one holds. Confined to one
 * thread.
 */
public class RequestLimitTracker {
    private val latest = LinkedHashMap<InstanceRun, LimitStatement>()

    /** The latest statement of each run that has named a limit, also of those that have since lifted it. */
    public val statements: Map<InstanceRun, LimitStatement>
        get() = latest

    /** Records that [run] made [statement], and returns whether its limit changed. */
    public fun record(
        run: InstanceRun,
        statement: LimitStatement,
    ): Boolean {
        val before = latest[run]
        if (before == null && statement.requestsPerSecond == null) return false
        if (before != null && !statement.isAfter(before) && !replacesConcurrent(statement, before)) return false
        latest[run] = statement
        if (latest.size > MAXIMUM_RUNS) latest.remove(latest.keys.first())
        return before?.requestsPerSecond != statement.requestsPerSecond
    }

    /** Returns how many requests per second [run] accepts from all nodes together, null if it has no limit. */
    public fun limitOf(run: InstanceRun): Double? = latest[run]?.requestsPerSecond

    private fun replacesConcurrent(
        statement: LimitStatement,
        before: LimitStatement,
    ): Boolean = !before.isAfter(statement) && statement.isStricterThan(before)

    private companion object {
        /** Entries lapse and return, so runs are kept beyond their entries; far more than are limited at a time. */
        const val MAXIMUM_RUNS = 4_096
    }
}
