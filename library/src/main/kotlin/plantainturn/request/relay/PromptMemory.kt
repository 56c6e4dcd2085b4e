package plantainturn.request.relay

import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName

/**
 * Remembers which engine has read which parts of prompts, for the estimate of what it has still to read.
 *
 * An engine keeps a part only together with all parts before it and for the same model and adapter. The newest
 * [capacity] parts are remembered. Confined to one thread.
 */
public class PromptMemory(
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    private val kept =
        object : LinkedHashMap<Key, Unit>(INITIAL_SIZE, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Key, Unit>): Boolean = size > capacity
        }

    /** Returns tokens of the prompt of [demand] that [engine] should have kept. */
    public fun keptTokens(
        engine: UpstreamName,
        demand: GenerationDemand,
    ): Int {
        var tokens = 0
        for (part in demand.parts) {
            if (keyOf(engine, demand, part) !in kept) break
            tokens += part.tokens
        }
        return minOf(tokens, demand.promptTokens)
    }

    /** Notes that [engine] has read the prompt of [demand]. */
    public fun onRead(
        engine: UpstreamName,
        demand: GenerationDemand,
    ) {
        for (part in demand.parts) kept[keyOf(engine, demand, part)] = Unit
    }

    /** Forgets all that [engine] kept. */
    public fun forget(engine: UpstreamName) {
        kept.keys.removeIf { it.engine == engine }
    }

    private fun keyOf(
        engine: UpstreamName,
        demand: GenerationDemand,
        part: PromptPart,
    ) = Key(engine, demand.model, demand.adapter, part.identifier)

    private data class Key(
        val engine: UpstreamName,
        val model: ModelName,
        val adapter: ModelName?,
        val part: String,
    )

    private companion object {
        const val DEFAULT_CAPACITY = 8_192
        const val INITIAL_SIZE = 256
        const val LOAD_FACTOR = 0.75f
    }
}
