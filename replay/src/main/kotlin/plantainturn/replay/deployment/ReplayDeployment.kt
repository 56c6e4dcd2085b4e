package plantainturn.replay.deployment

import plantainturn.replay.engine.EngineProfile
import plantainturn.replay.trace.WorkloadShape
import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.UpstreamKind
import plantainturn.version.placement.PlannerSettings
import kotlin.time.Duration

/**
 * A deployment as the replay knows it.
 *
 * @property nodes nodes of the system that callers' requests spread over
 * @property betweenDomains one-way latency between failure domains
 * @property toClients one-way latency to clients
 */
internal data class ReplayDeployment(
    val configuration: Configuration,
    val profile: EngineProfile,
    val workload: WorkloadShape,
    val nodes: Int,
    val betweenDomains: Duration,
    val toClients: Duration,
    val planner: PlannerSettings = PlannerSettings(),
) {
    val accelerators: Int
        get() =
            configuration.upstreams.values
                .filter { it.kind == UpstreamKind.ENGINE }
                .sumOf { it.accelerators }
}
