package plantainturn.version.route

import plantainturn.version.configuration.ServiceName

/**
 * A service to which a route sends requests.
 *
 * @property weight its share of the route's requests, relative to the weights of the route's other destinations
 */
public data class Destination(
    val service: ServiceName,
    val weight: Double,
)
