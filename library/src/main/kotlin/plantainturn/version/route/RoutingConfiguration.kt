package plantainturn.version.route

import kotlinx.collections.immutable.PersistentMap
import plantainturn.version.configuration.ConfigurationVersion
import plantainturn.version.configuration.ServiceName

/**
 * A complete version of the routes, services, limits and client accounts that operators configured.
 *
 * @property accounts the client accounts, null if the configuration has none, so that no request needs a key
 */
public data class RoutingConfiguration(
    val version: ConfigurationVersion,
    val table: RouteTable,
    val services: PersistentMap<ServiceName, ServiceDefinition>,
    val limits: CallerLimits,
    val accounts: ClientAccounts? = null,
)
