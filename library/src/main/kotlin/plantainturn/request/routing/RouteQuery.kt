package plantainturn.request.routing

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName

/**
 * The properties of a request that determine its route.
 *
 * @property target the model or adapter
 * @property prefixes the hashes of the prompt's prefixes, shortest first
 * @property avoided upstreams to choose only if no other holds the target, such as those already tried
 * @property confinedTo the only upstreams that may be chosen; empty permits all
 */
public data class RouteQuery(
    val target: ModelName,
    val prefixes: List<Long> = emptyList(),
    val avoided: PersistentSet<UpstreamName> = persistentSetOf(),
    val confinedTo: PersistentSet<UpstreamName> = persistentSetOf(),
)
