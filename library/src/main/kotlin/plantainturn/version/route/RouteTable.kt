package plantainturn.version.route

import kotlinx.collections.immutable.PersistentList

/** Finds the route of a request: the one with the longest matching path prefix among those of its host. */
public class RouteTable(
    public val routes: PersistentList<Route>,
) {
    private val byHost: Map<String, List<Route>> =
        routes
            .groupBy { it.host.lowercase() }
            .mapValues { (_, hostRoutes) -> hostRoutes.sortedByDescending { it.pathPrefix.length } }

    /**
     * Returns the route of a request, or null if none matches.
     *
     * @param host the host that the caller named, without a port
     * @param path the path as the caller sent it, not decoded and without the query
     */
    public fun find(
        host: String,
        path: String,
    ): Route? = byHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }
}
