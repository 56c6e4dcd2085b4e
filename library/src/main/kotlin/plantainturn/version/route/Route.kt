package plantainturn.version.route

import kotlinx.collections.immutable.PersistentList
import plantainturn.version.configuration.ServiceName
import kotlin.time.Duration

/**
 * Maps requests of one host and path prefix to services.
 *
 * @property pathPrefix begins and ends with a slash
 * @property destinations the services among which requests are split by weight; never empty
 * @property attempts the maximum number of upstreams on which one request may run
 * @property timeout the maximum time that a caller waits for the complete answer
 * @property objective the time within which an answer, or the first event of a stream, has its full value
 * @property eventGapObjective the maximum time between two events of a stream that meets the objective
 * @property eventTimeout how long callers wait for the first or the next event of a stream
 * @property urgency the rank of its requests; 0 is the most urgent
 * @property isPublic whether its requests need no access key although the configuration has client accounts
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
    val isPublic: Boolean = false,
) {
    /**
     * Returns the service that receives a request, selected by weight.
     *
     * @param draw a random number from 0 inclusive to 1 exclusive; equal draws select equal destinations
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
