package plantainturn.connection.upstream

import plantainturn.connection.engine.EngineReport
import plantainturn.connection.engine.ResidentState
import plantainturn.process.time.Moment
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification

/**
 * What this node knows of one upstream. It lags behind the truth.
 *
 * @property report the engine's latest report, null if there is none or the upstream is a plain service
 * @property reportTakenAt when the engine took the report, on this process's clock
 * @property leaving whether the platform or the operator is taking the upstream away; it gets no new work
 * @property suspected whether the upstream recently failed to answer or is far slower than it should be
 */
public data class UpstreamView(
    val name: UpstreamName,
    val specification: UpstreamSpecification,
    val report: EngineReport? = null,
    val reportTakenAt: Moment? = null,
    val leaving: Boolean = false,
    val suspected: Boolean = false,
) {
    /** Returns whether the latest report says that [model] can run requests here. */
    public fun isReady(model: ModelName): Boolean =
        report?.residents.orEmpty().any { it.name == model && it.state == ResidentState.READY }
}
