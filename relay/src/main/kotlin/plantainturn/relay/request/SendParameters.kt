package plantainturn.relay.request

import plantainturn.version.configuration.UpstreamName
import plantainturn.version.route.ClientAccountName
import kotlin.time.Duration

/**
 * Values that the relay adds to a request when it sends it to an instance.
 *
 * @property instance the only instance that may run the request
 * @property timeLeft time until the request's deadline
 * @property rank rank among the engine's requests, 0 first; null for a plain service
 * @property resumeAfter identifier of the event after which a stream is resumed, null for a complete stream
 * @property hasAccounts whether the configuration has client accounts, so that the instance must not receive access
 *   keys or accounts that the caller states
 * @property account the client account of the caller, null if the request belongs to none
 */
public data class SendParameters(
    val instance: UpstreamName,
    val timeLeft: Duration,
    val rank: Int?,
    val resumeAfter: String?,
    val account: ClientAccountName? = null,
    val hasAccounts: Boolean = false,
)
