package plantainturn.version.route

import kotlinx.collections.immutable.PersistentList
import plantainturn.version.configuration.ServiceName
import kotlin.time.Duration

/**
 * Leads requests of one host and path prefix to services.
 *
 * @property pathPrefix begins and ends with a slash
 * @property destinations where requests go, split by weight; never empty
 * @property attempts upstreams that one request may be run on at most
 * @property timeout the longest time that a caller is kept waiting for the whole answer
 * @property objective the time within which an answer, or the first event of a stream, is worth most
 * @property eventGapObjective the longest pause between two events of a stream that is still on time
 * @property eventTimeout how long callers wait for the first event of a stream, or for the next one
 * @property urgency rank among requests; 0 is the most urgent
 */
public data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val repetition: Repetition,
    val destinations: PersistentList<Destination>,
    val attempts: Int,
    val timeout: Duration,
    val objective: Duration,
    val eventGapObjective: Duration?,
    val eventTimeout: Duration,
    val urgency: Int,
) {
    /**
     * Returns the destination for a request.
     *
     * @param draw a number from 0 inclusive to 1 exclusive; equal draws give equal destinations
     */
    public fun destinationFor(draw: Double): ServiceName {
        var remaining = draw * destinations.sumOf { it.weight }
        for (destination in destinations) {
            remaining -= destination.weight
            if (remaining < 0) return destination.service
        }
        return destinations.last().service
    }
}
