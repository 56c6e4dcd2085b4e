package plantainturn.process.control.residence

import plantainturn.connection.engine.FenceNumber
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * An order that its engine carries out only as its next one after [expectedSequence] others.
 *
 * Of several orders with one expected sequence an engine carries out one at most, also when one of them is delayed.
 * Each must therefore fit what the engine holds after that many orders, and no more.
 */
public data class SequencedOrder(
    val engine: UpstreamName,
    val action: ResidenceAction,
    val expectedSequence: Long,
    val fence: FenceNumber,
) {
    public companion object {
        /** The longest time after which an engine carries out an order that it did not answer; the platform's bound. */
        public val MAXIMUM_EXECUTION_DELAY: Duration = 12.seconds
    }
}
