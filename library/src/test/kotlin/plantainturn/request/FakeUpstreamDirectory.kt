package plantainturn.request

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import plantainturn.connection.upstream.UpstreamDirectory
import plantainturn.connection.upstream.UpstreamView
import plantainturn.version.configuration.UpstreamName

/** An [UpstreamDirectory] that returns the views set by a test and records the reported failures. */
class FakeUpstreamDirectory(
    @Volatile var current: PersistentMap<UpstreamName, UpstreamView> = persistentMapOf(),
) : UpstreamDirectory {
    val failures = mutableListOf<UpstreamName>()

    override fun views(): PersistentMap<UpstreamName, UpstreamView> = current

    override fun reportSuccess(upstream: UpstreamName) = Unit

    override fun reportFailure(upstream: UpstreamName) {
        synchronized(failures) { failures += upstream }
    }
}
