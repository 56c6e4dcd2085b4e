package plantainturn.relay.request

import org.apache.logging.log4j.LogManager
import plantainturn.connection.roster.BrittlenessTracker
import plantainturn.connection.roster.InstanceNotice
import plantainturn.connection.roster.InstanceRoster
import plantainturn.connection.roster.InstanceRun
import plantainturn.connection.roster.LimitStatement
import plantainturn.connection.roster.RequestLimitTracker
import plantainturn.connection.roster.RetryAfterTracker
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import kotlin.time.Duration

/**
 * Handles the notices that instances attach to answers, and the departures that peers learned of in this way.
 *
 * @param onDeparture called once for each instance run that is leaving
 */
public class InstanceNotices(
    private val roster: InstanceRoster,
    private val rests: RetryAfterTracker,
    private val limits: RequestLimitTracker,
    private val timer: TimerService,
    private val onDeparture: (InstanceRun) -> Unit,
) {
    private val logger = LogManager.getLogger("roster")
    private val brittle = BrittlenessTracker()

    /**
     * Handles the [notice] of an answer from [instance], whichever request was answered.
     *
     * @param askedAt when the answered request was sent, null if unknown
     */
    public fun onNotice(
        instance: UpstreamInstance,
        notice: InstanceNotice,
        askedAt: Moment? = null,
    ) {
        if (notice.leaving) markLeaving(instance.run, from = "answer")
        notice.retryAfter?.let { asked ->
            val kept = rests.onRetryAfter(instance.run, asked, timer.now())
            logger.info("instance={} event=rest-asked asked={} kept={}", instance.name, asked, kept)
        }
        notice.limit?.let {
            val statement = LimitStatement(it.requestsPerSecond, askedAt ?: Moment.ORIGIN, timer.now())
            recordLimit(instance.run, statement, from = "answer")
        }
        notice.brittleness?.let {
            val statement = LimitStatement(it.requestsPerSecond, askedAt ?: Moment.ORIGIN, timer.now())
            recordBrittleness(instance.run, statement, from = "answer")
        }
    }

    /** Returns whether [instance] falls over when it turns too many requests away, so that each needs a place. */
    public fun isBrittle(instance: UpstreamInstance): Boolean = brittle.isBrittle(instance, timer.now())

    /** Returns what the runs that have an entry said about how many requests they may turn away. */
    public fun brittleness(): Map<InstanceRun, LimitStatement> =
        brittle.statements.filterKeys { roster.instances[it.name]?.run == it }

    /** Handles what instances said about that in answers to peers. */
    public fun onPeerBrittleness(statements: Map<InstanceRun, LimitStatement>): Unit =
        statements.forEach { (run, statement) -> recordBrittleness(run, statement, from = "peer") }

    private fun recordBrittleness(
        run: InstanceRun,
        statement: LimitStatement,
        from: String,
    ) {
        if (!brittle.record(run, roster.instances[run.name]?.service, statement)) return
        logger.info(
            "instance={} event=brittleness-changed now={} startedAt={} from={} age={}",
            run.name,
            statement.requestsPerSecond,
            run.startedAt,
            from,
            timer.now() - statement.heardAt,
        )
    }

    /** Returns how many requests per second [run] accepts from all nodes together, null if it has no limit. */
    public fun limitOf(run: InstanceRun): Double? = limits.limitOf(run)

    /** Returns what the runs that have an entry said about their limits on requests, as far as they named one. */
    public fun limits(): Map<InstanceRun, LimitStatement> =
        limits.statements.filterKeys { roster.instances[it.name]?.run == it }

    /** Handles what instances said about their limits in answers to peers. */
    public fun onPeerLimits(statements: Map<InstanceRun, LimitStatement>): Unit =
        statements.forEach { (run, statement) -> recordLimit(run, statement, from = "peer") }

    /** Handles [departures] that peers reported. */
    public fun onPeerDepartures(departures: List<InstanceRun>): Unit =
        departures.forEach { markLeaving(it, from = "peer") }

    /** Returns for how much longer [instance] asked to receive no requests, null if it did not ask. */
    public fun restOf(instance: UpstreamInstance): Duration? = rests.remaining(instance.run, timer.now())

    private fun recordLimit(
        run: InstanceRun,
        statement: LimitStatement,
        from: String,
    ) {
        val before = limits.limitOf(run)
        if (!limits.record(run, statement)) return
        logger.info(
            "instance={} event=limit-changed before={} now={} startedAt={} from={} age={}",
            run.name,
            before,
            statement.requestsPerSecond,
            run.startedAt,
            from,
            timer.now() - statement.heardAt,
        )
    }

    private fun markLeaving(
        run: InstanceRun,
        from: String,
    ) {
        if (!roster.markLeaving(run)) return
        logger.info("instance={} event=leaving-announced startedAt={} from={}", run.name, run.startedAt, from)
        onDeparture(run)
    }
}
