package plantainturn.request.completion.internal

import plantainturn.connection.engine.EngineReportResult
import plantainturn.connection.upstream.UpstreamDirectory
import plantainturn.connection.upstream.UpstreamView
import plantainturn.request.completion.EngineConnections
import plantainturn.request.quarantine.CrashEvidence
import plantainturn.request.quarantine.CrashProbe
import plantainturn.request.quarantine.CrashVerdict

/** Checks by requesting a report from an engine whether it responds and whether it has crashed. */
internal class EngineProbe(
    private val directory: UpstreamDirectory,
    private val engines: EngineConnections,
) : CrashProbe {
    /** Returns whether the engine of [view] returns a report now. Blocks for at most the timeout of a report. */
    fun isResponsive(view: UpstreamView): Boolean =
        engines.connect(view.name, view.specification).report() is EngineReportResult.Reported

    override fun verdictOf(evidence: CrashEvidence): CrashVerdict {
        val view = directory.views()[evidence.upstream] ?: return CrashVerdict.CONFIRMED
        val result = engines.connect(view.name, view.specification).report()
        val survived = result is EngineReportResult.Reported && result.report.incarnation == evidence.incarnation
        return if (survived) CrashVerdict.SURVIVED else CrashVerdict.CONFIRMED
    }
}
