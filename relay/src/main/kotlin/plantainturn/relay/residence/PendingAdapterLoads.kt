package plantainturn.relay.residence

import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName

/** The requests for adapters that are being met, each once however many ask. */
internal class PendingAdapterLoads {
    private val callbacks = HashMap<Pair<ModelName, ModelName>, MutableList<(UpstreamName?) -> Unit>>()

    /** Adds one that asks and returns whether it is the first for this adapter. */
    fun add(
        model: ModelName,
        adapter: ModelName,
        done: (UpstreamName?) -> Unit,
    ): Boolean {
        val waiting = callbacks.getOrPut(model to adapter) { ArrayList() }
        waiting += done
        return waiting.size == 1
    }

    /** Tells all that asked. */
    fun complete(
        model: ModelName,
        adapter: ModelName,
        engine: UpstreamName?,
    ) {
        callbacks.remove(model to adapter)?.forEach { it(engine) }
    }
}
