package plantainturn.connection.service

import kotlinx.collections.immutable.PersistentList
import plantainturn.request.AttemptNumber
import plantainturn.request.RequestIdentifier
import kotlin.time.Duration

/**
 * Holds one attempt of a call to a plain service.
 *
 * @property path path and query relative to the base URL of the service, starting with `/`
 * @property idempotencyKey the caller's idempotency key, forwarded to the service; null if there is none
 */
public class ServiceCall(
    public val request: RequestIdentifier,
    public val attempt: AttemptNumber,
    public val method: String,
    public val path: String,
    public val headers: PersistentList<HttpField>,
    public val body: ByteArray,
    public val idempotencyKey: String?,
    public val timeout: Duration,
)
