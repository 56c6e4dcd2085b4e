package plantainturn.connection.service

import kotlinx.collections.immutable.PersistentList
import plantainturn.request.AttemptNumber
import plantainturn.request.RequestIdentifier
import kotlin.time.Duration

/**
 * One attempt of a call to a plain service.
 *
 * @property path path and query below the service's root, starting with `/`
 * @property idempotencyKey the caller's key, passed on to the service
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
