package plantainturn.request.completion.internal

import plantainturn.connection.upstream.UpstreamDirectory
import plantainturn.request.routing.RoutingIndex
import java.util.concurrent.atomic.AtomicReference

/** Caches the routing index of the directory's current views. */
internal class RoutingIndexCache(
    private val directory: UpstreamDirectory,
) {
    private val latest = AtomicReference(RoutingIndex.EMPTY)

    /** Returns the index of the current views and updates it first if they have changed. */
    fun read(): RoutingIndex {
        val snapshot = directory.views()
        val cached = latest.get()
        if (cached.isBuiltFrom(snapshot)) return cached
        val updated = cached.updated(snapshot)
        latest.set(updated)
        return updated
    }
}
