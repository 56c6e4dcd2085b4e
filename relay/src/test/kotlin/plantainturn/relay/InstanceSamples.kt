package plantainturn.relay

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import plantainturn.connection.roster.SocketLocation
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.UpstreamName

/** Sample instances for tests. */
internal object InstanceSamples {
    /** Returns an instance [name] that was started at [startedAt]. */
    fun instance(
        name: String,
        startedAt: Long = 1,
    ): UpstreamInstance =
        UpstreamInstance(
            name = UpstreamName(name),
            service = ServiceName("service"),
            location = SocketLocation("127.0.0.1", 1),
            domain = FailureDomain("zone"),
            startedAt = startedAt,
            concurrency = 8,
            leaving = false,
            residents = persistentMapOf(),
            hostCopies = persistentSetOf(),
            diskCopies = persistentSetOf(),
        )
}
