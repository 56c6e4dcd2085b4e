package plantainturn.relay.request

import plantainturn.relay.http.CallerRequest
import plantainturn.request.RequestIdentifier
import plantainturn.request.relay.GenerationDemand
import plantainturn.version.route.AccessKeyDigest
import kotlin.time.Duration

/**
 * A caller's request to be relayed, as decoded by the [RelayDialect].
 *
 * @property identifier identifies this attempt of the caller; a retry by the caller has another identifier
 * @property host the requested host, without a port
 * @property path the requested path as it was sent, without the query
 * @property callerTimeout how long the caller waits, counted from its sending of the request; null if not given
 * @property demand the demand on a model engine, null if the request does not name a model
 * @property resumeAfter identifier of the last event that the caller received, null unless it resumes a stream
 * @property resumedStream the attempt of the caller that brought the first event of the stream that is resumed; null if
 *   the caller names none
 * @property accessKey the digest of the caller's access key, null if the request carries none or several
 * @property declaredTokens prompt tokens and maximum output tokens together, null if not declared or malformed
 */
public class RelayRequest(
    public val identifier: RequestIdentifier,
    public val host: String,
    public val path: String,
    public val callerTimeout: Duration?,
    public val demand: GenerationDemand?,
    public val resumeAfter: String?,
    public val resumedStream: RequestIdentifier?,
    public val source: CallerRequest,
    public val accessKey: AccessKeyDigest? = null,
    public val declaredTokens: Long? = null,
)
