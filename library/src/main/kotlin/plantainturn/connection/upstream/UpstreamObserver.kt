package plantainturn.connection.upstream

import plantainturn.connection.engine.EngineReport
import plantainturn.connection.engine.ModelEngine
import plantainturn.version.configuration.UpstreamName

/** Is told of each report that this node read. */
public fun interface UpstreamObserver {
    /** Takes the [report] of [upstream], on the thread that read it; may call [engine] and block. */
    public fun onReport(
        upstream: UpstreamName,
        engine: ModelEngine,
        report: EngineReport,
    )
}
