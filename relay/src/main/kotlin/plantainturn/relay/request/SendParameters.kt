package plantainturn.relay.request

import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration

/**
 * What the system adds to a request when it sends it to an instance.
 *
 * @property instance the only instance that may run it
 * @property timeLeft how long the answer is wanted
 * @property rank its rank among an engine's requests, 0 first; null for a plain service
 * @property resumeAfter the event after which a stream goes on, null for a whole one
 */
public data class SendParameters(
    val instance: UpstreamName,
    val timeLeft: Duration,
    val rank: Int?,
    val resumeAfter: String?,
)
