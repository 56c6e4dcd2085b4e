package plantainturn.version.route

import plantainturn.version.configuration.ServiceName

/**
 * A service that a route leads to.
 *
 * @property weight its part of the route's requests, relative to the route's other destinations
 */
public data class Destination(
    val service: ServiceName,
    val weight: Double,
)
