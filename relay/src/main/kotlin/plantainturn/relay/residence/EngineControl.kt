package plantainturn.relay.residence

import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.control.residence.EngineReading
import plantainturn.process.control.residence.SequencedOrder
import plantainturn.process.control.residence.SequencedOrderResult

/** An engine's own interface. Calls return at once and later call back exactly once, on the event loop. */
public interface EngineControl {
    /** Asks [engine] what it holds; null if it does not answer. Each question is billed. */
    public fun read(
        engine: UpstreamInstance,
        done: (EngineReading?) -> Unit,
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
        done: (SequencedOrderResult) -> Unit,
    )
}
