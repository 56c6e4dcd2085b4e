package plantainturn.version.route

import plantainturn.version.configuration.ServiceName

/**
 * A service that routes lead to.
 *
 * @property probePath where an instance tells whether it is healthy
 * @property connectionLimit connections that one instance accepts from all nodes together
 * @property engines what its instances share if they are model engines, null for a plain service
 */
public data class ServiceDefinition(
    val name: ServiceName,
    val probePath: String,
    val connectionLimit: Int,
    val engines: EngineFleet?,
)
