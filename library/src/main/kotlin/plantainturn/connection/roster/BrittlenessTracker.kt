package plantainturn.connection.roster

import plantainturn.process.time.Moment
import plantainturn.version.configuration.ServiceName
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks which instances said that they fall over when they turn too many requests away.
 *
 * Statements are ordered as those about limits. A run that has not answered yet counts as brittle while others of its
 * service are: it may have fallen over just before, and would be rushed by what waited. Confined to one thread.
 */
public class BrittlenessTracker {
    private val tracker = RequestLimitTracker()
    private val latestByService = HashMap<ServiceName, Moment>()
    private val answered = LinkedHashSet<InstanceRun>()

    /** The latest statement of each run that has said so, also of those that no longer do. */
    public val statements: Map<InstanceRun, LimitStatement>
        get() = tracker.statements

    /**
     * Records that [run] of [service], if that is known, made [statement], and returns whether that changed
     * anything.
     */
    public fun record(
        run: InstanceRun,
        service: ServiceName?,
        statement: LimitStatement,
    ): Boolean {
        if (answered.add(run) && answered.size > MAXIMUM_RUNS) answered.remove(answered.first())
        val changed = tracker.record(run, statement)
        if (service != null && statement.requestsPerSecond != null) {
            latestByService[service] = maxOf(latestByService[service] ?: statement.heardAt, statement.heardAt)
        }
        return changed
    }

    /** Returns whether requests to [instance] need a place. */
    public fun isBrittle(
        instance: UpstreamInstance,
        now: Moment,
    ): Boolean {
        if (tracker.statements.isEmpty()) return false
        if (tracker.limitOf(instance.run) != null) return true
        if (instance.run in answered) return false
        return latestByService[instance.service]?.let { now - it < UNHEARD_TIME } ?: false
    }

    private companion object {
        /** Longer than a server takes to be back. */
        val UNHEARD_TIME = 15.seconds
        const val MAXIMUM_RUNS = 4_096
    }
}
