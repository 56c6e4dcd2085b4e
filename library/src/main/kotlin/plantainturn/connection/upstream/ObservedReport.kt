package plantainturn.connection.upstream

import plantainturn.connection.engine.EngineReport
import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName

/**
 * A report of an engine, or as much of it as another node told.
 *
 * A report that came from another node names what is ready and how busy the engine is; its memory figures, fences and
 * orders are missing, so nothing about memory may be concluded from it.
 *
 * @property takenAt when the engine took it, on this process's clock, at the earliest
 */
public data class ObservedReport(
    val upstream: UpstreamName,
    val report: EngineReport,
    val takenAt: Moment,
)
