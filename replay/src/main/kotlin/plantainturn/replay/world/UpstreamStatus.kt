package plantainturn.replay.world

import plantainturn.connection.engine.ResidentState
import plantainturn.process.time.Moment
import plantainturn.replay.engine.SimulatedEngine
import plantainturn.version.configuration.ModelName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** An engine's report as it was taken. */
internal class ReportSnapshot(
    val takenAt: Moment,
    val incarnation: Int,
    val running: Int,
    val waiting: Int,
    val states: Map<ModelName, ResidentState>,
)

/**
 * What all nodes know of one engine, from its last report seen.
 *
 * @property index the engine's place among all engines
 */
internal class UpstreamStatus(
    val index: Int,
    val engine: SimulatedEngine,
) {
    var report: ReportSnapshot = ReportSnapshot(Moment.ORIGIN, 0, 0, 0, engine.states())

    /** How long an exchange takes to fail while the engine is dead. */
    var lossDetection: Duration = Duration.ZERO

    private var failedAt: Moment? = null

    val concurrency: Int
        get() = engine.specification.concurrency

    val reportedLoad: Int
        get() = report.running + report.waiting

    /** Notes that an exchange with the engine failed; it gets nothing until it reports again. */
    fun fail(now: Moment) {
        failedAt = now
    }

    fun isUsable(now: Moment): Boolean {
        val failed = failedAt
        if (failed != null && report.takenAt <= failed) return false
        return now - report.takenAt < STALE_AFTER
    }

    private companion object {
        val STALE_AFTER: Duration = 1.6.seconds
    }
}
