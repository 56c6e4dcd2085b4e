package plantainturn.connection.roster

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.UpstreamName

/** Returns an instance of a plain service. */
internal fun instance(
    name: String,
    leaving: Boolean = false,
) = UpstreamInstance(
    name = UpstreamName(name),
    service = ServiceName("service"),
    location = SocketLocation("127.0.0.1", 1),
    domain = FailureDomain("domain"),
    startedAt = 1,
    concurrency = 1,
    leaving = leaving,
    residents = persistentMapOf(),
    hostCopies = persistentSetOf(),
    diskCopies = persistentSetOf(),
)
