package plantainturn.request.service

import kotlinx.collections.immutable.PersistentList
import plantainturn.connection.service.HttpField
import plantainturn.process.time.Moment
import plantainturn.request.RequestIdentifier
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.TeamName

/**
 * A caller's request to a plain service.
 *
 * @property path the path and query relative to the service's root, starting with `/`
 * @property headers the header fields to forward, with hop-by-hop fields and credentials already removed
 * @property idempotencyKey the value of the caller's `Idempotency-Key` header, null if it is absent
 */
public class ServiceRequest(
    public val identifier: RequestIdentifier,
    public val team: TeamName,
    public val service: ServiceName,
    public val method: String,
    public val path: String,
    public val headers: PersistentList<HttpField>,
    public val body: ByteArray,
    public val idempotencyKey: String?,
    public val receivedAt: Moment,
)
