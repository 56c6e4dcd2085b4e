package plantainturn.version.route

import kotlinx.collections.immutable.PersistentMap
import plantainturn.version.configuration.ConfigurationVersion
import plantainturn.version.configuration.ServiceName

/** One whole version of the operators' routes, services and limits. */
public data class RoutingConfiguration(
    val version: ConfigurationVersion,
    val table: RouteTable,
    val services: PersistentMap<ServiceName, ServiceDefinition>,
    val limits: CallerLimits,
)
