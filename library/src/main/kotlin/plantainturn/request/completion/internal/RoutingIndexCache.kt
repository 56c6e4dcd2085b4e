package plantainturn.request.completion.internal

import plantainturn.connection.upstream.UpstreamDirectory
import plantainturn.request.routing.RoutingIndex
import java.util.concurrent.atomic.AtomicReference

/** Keeps the routing index of the directory's present views. */
internal class RoutingIndexCache(
    private val directory: UpstreamDirectory,
) {
    private val latest = AtomicReference(RoutingIndex.EMPTY)

    /** Returns the index of the present views, and works it out if they have changed. */
    fun read(): RoutingIndex {
        val snapshot = directory.views()
        val cached = latest.get()
        if (cached.isBuiltFrom(snapshot)) return cached
        val updated = cached.updated(snapshot)
        latest.set(updated)
        return updated
    }
}
