package plantainturn.relay.residence

import plantainturn.connection.roster.InstanceNotice
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.control.residence.EngineReading
import plantainturn.process.control.residence.SequencedOrder
import plantainturn.process.control.residence.SequencedOrderResult

/**
 * An engine's own interface. Calls return at once and later call back exactly once, on the event loop.
 *
 * Callbacks are accepted what the engine said of itself beside its answer, [InstanceNotice.NONE] if there was none.
 */
public interface EngineControl {
    /** Asks [engine] what it holds; null if it does not answer. Each question is billed. */
    public fun read(
        engine: UpstreamInstance,
        done: (EngineReading?, InstanceNotice) -> Unit,
    )

    /**
     * Gives [order] to [engine].
     *
     * @param holder names this node as the holder of the lease
     */
    public fun order(
        engine: UpstreamInstance,
        order: SequencedOrder,
        holder: String,
        done: (SequencedOrderResult, InstanceNotice) -> Unit,
    )
}
