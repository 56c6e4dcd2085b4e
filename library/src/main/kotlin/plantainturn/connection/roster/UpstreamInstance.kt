package plantainturn.connection.roster

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.UpstreamName

/**
 * One run of a server of a service, as it describes itself in the store.
 *
 * @property name unique among all instances; a server that starts again may keep it
 * @property startedAt Unix milliseconds of its start, which tells two runs under one name apart
 * @property concurrency requests that it runs at once
 * @property leaving whether it has announced that it will end
 * @property residents base models in its accelerator memory with their adapters; empty for a plain service
 * @property hostCopies models whose weights lie in its host memory
 * @property diskCopies models whose weights lie on its disk
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
) {
    /** Names this run. */
    val run: InstanceRun
        get() = InstanceRun(name, startedAt)
}
