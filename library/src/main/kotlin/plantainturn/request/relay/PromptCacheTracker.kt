package plantainturn.request.relay

import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName

/**
 * Tracks which engine has cached which parts of prompts, to estimate what it still has to process of a prompt.
 *
 * Load pattern: many callers ask about few subjects, through different nodes. An engine keeps a part only together
 * with all parts before it and for the same model and adapter. Parts that a request in flight shares count as cached
 * already, as the engine processes them once for all requests that wait behind it. The newest [capacity] parts of each
 * model at each engine are remembered. Confined to one thread.
 */
public class PromptCacheTracker(
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    private val caches = HashMap<Pair<UpstreamName, ModelName>, EngineCache>()
    private val unannounced = ArrayDeque<KeptPart>()

    /** Returns the prompt tokens of [demand] that [engine] has cached, or will have cached before processing it. */
    public fun cachedTokens(
        engine: UpstreamName,
        demand: GenerationDemand,
    ): Int {
        val cache = caches[engine to demand.model] ?: return 0
        val tokens =
            demand.parts
                .takeWhile { part -> partOf(demand, part).let { it in cache.cached || it in cache.pending } }
                .sumOf { it.tokens }
        return minOf(tokens, demand.promptTokens)
    }

    /** Records that a request with [demand] is sent to [engine]; each call needs one of [onPrefillEnd]. */
    public fun onSend(
        engine: UpstreamName,
        demand: GenerationDemand,
    ) {
        val cache = cacheOf(engine, demand.model)
        for (part in demand.sharedParts()) cache.pending.merge(partOf(demand, part), 1, Int::plus)
    }

    /**
     * Records that the prompt of [demand] is no longer pending at [engine].
     *
     * It was processed, or the request ended before.
     */
    public fun onPrefillEnd(
        engine: UpstreamName,
        demand: GenerationDemand,
    ) {
        val cache = caches[engine to demand.model] ?: return
        for (part in demand.sharedParts()) {
            cache.pending.computeIfPresent(partOf(demand, part)) { _, count -> (count - 1).takeIf { it > 0 } }
        }
    }

    /** Records that [engine] has processed the prompt of [demand]. */
    public fun onPrefillDone(
        engine: UpstreamName,
        demand: GenerationDemand,
    ) {
        val cache = cacheOf(engine, demand.model)
        for (part in demand.parts) {
            val added = cache.cached.put(partOf(demand, part), Unit) == null
            if (added && part !== demand.parts.last()) announce(engine, demand, part)
        }
    }

    /** Adds the parts that other nodes reported. */
    public fun merge(parts: List<KeptPart>) {
        for (part in parts) cacheOf(part.engine, part.model).cached[Part(part.adapter, part.part)] = Unit
    }

    /**
     * Returns the parts that were processed since the last call and that other requests may share.
     *
     * If there are very many, only the newest are returned.
     */
    public fun takeUnannounced(): List<KeptPart> = unannounced.toList().also { unannounced.clear() }

    /** Forgets all but the parts of [isResident] models: an engine drops a model's cache together with the model. */
    public fun retain(isResident: (UpstreamName, ModelName) -> Boolean) {
        caches.keys.removeIf { (engine, model) -> !isResident(engine, model) }
    }

    private fun announce(
        engine: UpstreamName,
        demand: GenerationDemand,
        part: PromptPart,
    ) {
        unannounced.addLast(KeptPart(engine, demand.model, demand.adapter, part.identifier))
        if (unannounced.size > MAXIMUM_UNANNOUNCED) unannounced.removeFirst()
    }

    private fun cacheOf(
        engine: UpstreamName,
        model: ModelName,
    ) = caches.getOrPut(engine to model) { EngineCache(capacity) }

    private fun GenerationDemand.sharedParts(): List<PromptPart> = parts.dropLast(1)

    private fun partOf(
        demand: GenerationDemand,
        part: PromptPart,
    ) = Part(demand.adapter, part.identifier)

    private data class Part(
        val adapter: ModelName?,
        val identifier: String,
    )

    private class EngineCache(
        capacity: Int,
    ) {
        val pending = HashMap<Part, Int>()
        val cached =
            object : LinkedHashMap<Part, Unit>(INITIAL_SIZE, LOAD_FACTOR, true) {
                override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Part, Unit>): Boolean = size > capacity
            }
    }

    private companion object {
        /** More prompts than fit into an engine's cache. */
        const val DEFAULT_CAPACITY = 512

        /** More than the requests of a busy node between two exchanges with its peers. */
        const val MAXIMUM_UNANNOUNCED = 256
        const val INITIAL_SIZE = 64
        const val LOAD_FACTOR = 0.75f
    }
}
