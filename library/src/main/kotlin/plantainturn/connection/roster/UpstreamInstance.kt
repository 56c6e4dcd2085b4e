package plantainturn.connection.roster

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.UpstreamName

/**
 * Describes one run of a server of a service, as the server reports it in its store entry.
 *
 * @property name unique among all instances; a server that restarts may keep it
 * @property startedAt start time in Unix milliseconds, which distinguishes runs under one name; null if unknown
 * @property concurrency number of requests that it runs at once
 * @property leaving whether it announced that it is shutting down
 * @property residents base models in its accelerator memory with their adapters; empty for a plain service
 * @property hostCopies models whose weights are in its host memory
 * @property diskCopies models whose weights are on its disk
 * @property softwareVersion the version of its software
 */
public data class UpstreamInstance(
    val name: UpstreamName,
    val service: ServiceName,
    val location: SocketLocation,
    val domain: FailureDomain,
    val startedAt: Long?,
    val concurrency: Int,
    val leaving: Boolean,
    val residents: PersistentMap<ModelName, PersistentSet<ModelName>>,
    val hostCopies: PersistentSet<ModelName>,
    val diskCopies: PersistentSet<ModelName>,
    val softwareVersion: SoftwareVersion = SoftwareVersion.UNNAMED,
) {
    /** Identifies this run. */
    val run: InstanceRun
        get() = InstanceRun(name, startedAt)
}
