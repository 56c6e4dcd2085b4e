package plantainturn.version.route

import plantainturn.version.configuration.ServiceName

/**
 * A service to which routes can send requests.
 *
 * @property engines the shared properties of its instances if they are model engines, or null for a plain service
 */
public data class ServiceDefinition(
    val name: ServiceName,
    val engines: EngineFleet?,
)
