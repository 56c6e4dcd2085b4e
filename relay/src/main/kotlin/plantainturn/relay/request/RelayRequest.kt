package plantainturn.relay.request

import plantainturn.relay.http.CallerRequest
import plantainturn.request.RequestIdentifier
import plantainturn.request.relay.GenerationDemand
import kotlin.time.Duration

/**
 * A caller's request that is passed on, as the platform's dialect decoded it.
 *
 * @property identifier names this attempt of the caller; a repetition by the caller has another one
 * @property host the host that the caller named, without a port
 * @property path the path as it was sent, without the query
 * @property callerTimeout how long the caller waits from when the request was sent, null if it did not say
 * @property demand what it asks of a model engine, null if it does not name a model
 * @property resumeAfter the last event that the caller has, if it resumes a stream
 */
public class RelayRequest(
    public val identifier: RequestIdentifier,
    public val host: String,
    public val path: String,
    public val callerTimeout: Duration?,
    public val demand: GenerationDemand?,
    public val resumeAfter: String?,
    public val source: CallerRequest,
)
