package plantainturn.relay.residence

import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName

/** Tracks the adapter loads in progress. All callers that want the same adapter share one load. */
internal class PendingAdapterLoads {
    private val callbacks = HashMap<Pair<ModelName, ModelName>, MutableList<(UpstreamName?) -> Unit>>()

    /** Adds a caller and returns whether it is the first one that waits for this adapter. */
    fun add(
        model: ModelName,
        adapter: ModelName,
        done: (UpstreamName?) -> Unit,
    ): Boolean {
        val waiting = callbacks.getOrPut(model to adapter) { ArrayList() }
        waiting += done
        return waiting.size == 1
    }

    /** Passes [engine], which holds the adapter, to all waiting callers; null if no engine could load it. */
    fun complete(
        model: ModelName,
        adapter: ModelName,
        engine: UpstreamName?,
    ) {
        callbacks.remove(model to adapter)?.forEach { it(engine) }
    }
}
