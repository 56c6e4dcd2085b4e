package plantainturn.process.control.residence

import plantainturn.connection.engine.FenceNumber
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * An order that the engine executes only if it has accepted exactly [expectedSequence] orders before.
 *
 * The engine executes at most one of several orders with the same expected sequence, even if one of them is delayed.
 * Each must therefore fit in beside what the engine holds after that many orders, but not beside the others.
 */
public data class SequencedOrder(
    val engine: UpstreamName,
    val action: ResidenceAction,
    val expectedSequence: Long,
    val fence: FenceNumber,
) {
    public companion object {
        /** The longest time until an engine executes an order that it did not answer, as bounded by the platform. */
        public val MAXIMUM_EXECUTION_DELAY: Duration = 12.seconds
    }
}
