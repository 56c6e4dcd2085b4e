package plantainturn.relay.request

import kotlin.time.Duration

/**
 * On which terms a request waits for a permit to be sent to an instance that limits its requests.
 *
 * @property urgency rank of its route; 0 is the most urgent
 * @property patience how long it waits at most
 */
internal data class PermitTerms(
    val urgency: Int,
    val patience: Duration,
)
