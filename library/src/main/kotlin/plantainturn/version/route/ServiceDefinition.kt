package plantainturn.version.route

import plantainturn.version.configuration.ServiceName

/**
 * A service that routes lead to.
 *
 * @property engines what its instances share if they are model engines, null for a plain service
 */
public data class ServiceDefinition(
    val name: ServiceName,
    val engines: EngineFleet?,
)
