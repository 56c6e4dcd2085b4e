package plantainturn.relay.residence

import plantainturn.connection.roster.InstanceNotice
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.control.residence.EngineReading
import plantainturn.process.control.residence.SequencedOrder
import plantainturn.process.control.residence.SequencedOrderResult

/**
 * Reads and changes what engines hold. Calls return at once and invoke their callback exactly once, on the event loop.
 *
 * Callbacks also receive the notice that the engine sent with its answer, [InstanceNotice.NONE] if there was none.
 */
public interface EngineControl {
    /** Reads what [engine] holds; null if it does not answer. Each read is billed. */
    public fun read(
        engine: UpstreamInstance,
        done: (EngineReading?, InstanceNotice) -> Unit,
    )

    /**
     * Sends [order] to [engine].
     *
     * @param holder identifies this node as the holder of the lease
     */
    public fun order(
        engine: UpstreamInstance,
        order: SequencedOrder,
        holder: String,
        done: (SequencedOrderResult, InstanceNotice) -> Unit,
    )
}
