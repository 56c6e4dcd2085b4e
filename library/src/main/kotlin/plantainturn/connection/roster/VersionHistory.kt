package plantainturn.connection.roster

import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.version.configuration.ServiceName
import kotlin.time.Duration

/**
 * Tracks which software versions of each service serve now or have served lately.
 *
 * A version that has left still matters for as long as a stream that it began can be resumed. Confined to one thread.
 */
public class VersionHistory(
    private val timer: TimerService,
) {
    private var present: Map<ServiceName, Set<SoftwareVersion>> = emptyMap()
    private val departed = HashMap<Pair<ServiceName, SoftwareVersion>, Moment>()

    /** The services of which several versions serve now. */
    public val mixedServices: Set<ServiceName>
        get() = present.filterValues { it.size > 1 }.keys

    /** Takes over the present [instances]. */
    public fun onInstances(instances: Collection<UpstreamInstance>) {
        val now = present(instances)
        for ((service, versions) in present) {
            for (version in versions - now[service].orEmpty()) departed[service to version] = timer.now()
        }
        present = now
    }

    /** Records that [version] of [service] served [age] ago, as another node noted. */
    public fun onSeen(
        service: ServiceName,
        version: SoftwareVersion,
        age: Duration,
    ) {
        val at = timer.now() - age
        departed.merge(service to version, at) { before, added -> maxOf(before, added) }
    }

    /** Returns the versions of [service] that serve now or have served within [lifetime]. */
    public fun recent(
        service: ServiceName,
        lifetime: Duration,
    ): Set<SoftwareVersion> {
        val oldest = timer.now() - lifetime
        departed.values.removeIf { it < oldest }
        return present[service].orEmpty() + departed.keys.filter { it.first == service }.map { it.second }
    }

    /** Returns whether a stream of [service] that began within [lifetime] may be of one of several versions. */
    public fun isMixed(
        service: ServiceName,
        lifetime: Duration,
    ): Boolean = recent(service, lifetime).size > 1

    /** Returns the services for which [isMixed] holds. */
    public fun mixedServices(lifetime: Duration): Set<ServiceName> =
        (present.keys + departed.keys.map { it.first }).filterTo(LinkedHashSet()) { isMixed(it, lifetime) }

    private fun present(instances: Collection<UpstreamInstance>): Map<ServiceName, Set<SoftwareVersion>> =
        instances.groupBy({ it.service }, { it.softwareVersion }).mapValues { it.value.toSet() }
}
