package plantainturn.version.route

import kotlinx.collections.immutable.PersistentMap
import plantainturn.version.configuration.ConfigurationVersion
import plantainturn.version.configuration.ServiceName

/** A complete version of the routes, services and limits that operators configured. */
public data class RoutingConfiguration(
    val version: ConfigurationVersion,
    val table: RouteTable,
    val services: PersistentMap<ServiceName, ServiceDefinition>,
    val limits: CallerLimits,
)
