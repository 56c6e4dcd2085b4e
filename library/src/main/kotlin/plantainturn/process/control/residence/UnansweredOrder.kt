package plantainturn.process.control.residence

import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName

/**
 * An order whose outcome is unknown: it was sent to [engine] and no answer has been received.
 *
 * @property expectedSequence the number of accepted orders at which the engine executes it
 * @property expiresAt from when on it can no longer be executed
 */
public data class UnansweredOrder(
    val engine: UpstreamName,
    val action: ResidenceAction,
    val expectedSequence: Long,
    val expiresAt: Moment,
)
