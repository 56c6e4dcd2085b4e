package plantainturn.request.relay

import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName

/**
 * Remembers which engine has read which parts of prompts, for the estimate of what it has still to read.
 *
 * Load pattern: many callers ask about few subjects, through different nodes. An engine keeps a part only together with
 * all parts before it and for the same model and adapter. Parts that a request in flight shares count as kept already,
 * as the engine reads them once for all that wait behind it. The newest [capacity] parts of each model at each engine
 * are remembered. Confined to one thread.
 */
public class PromptCacheTracker(
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    private val holdings = HashMap<Pair<UpstreamName, ModelName>, Holding>()
    private val untold = ArrayDeque<KeptPart>()

    /** Returns tokens of the prompt of [demand] that [engine] keeps, or will have read before it. */
    public fun cachedTokens(
        engine: UpstreamName,
        demand: GenerationDemand,
    ): Int {
        val holding = holdings[engine to demand.model] ?: return 0
        val tokens =
            demand.parts
                .takeWhile { part -> partOf(demand, part).let { it in holding.kept || it in holding.beingRead } }
                .sumOf { it.tokens }
        return minOf(tokens, demand.promptTokens)
    }

    /** Notes that [engine] is given a request with [demand]; each call needs one of [onPrefillEnd]. */
    public fun onSend(
        engine: UpstreamName,
        demand: GenerationDemand,
    ) {
        val holding = holdingOf(engine, demand.model)
        for (part in demand.sharedParts()) holding.beingRead.merge(partOf(demand, part), 1, Int::plus)
    }

    /** Notes that a request with [demand] does not wait to be read at [engine] any more: it was, or it ended. */
    public fun onPrefillEnd(
        engine: UpstreamName,
        demand: GenerationDemand,
    ) {
        val holding = holdings[engine to demand.model] ?: return
        for (part in demand.sharedParts()) {
            holding.beingRead.computeIfPresent(partOf(demand, part)) { _, count -> (count - 1).takeIf { it > 0 } }
        }
    }

    /** Notes that [engine] has read the prompt of [demand]. */
    public fun onPrefillDone(
        engine: UpstreamName,
        demand: GenerationDemand,
    ) {
        val holding = holdingOf(engine, demand.model)
        for (part in demand.parts) {
            val added = holding.kept.put(partOf(demand, part), Unit) == null
            if (added && part !== demand.parts.last()) tell(engine, demand, part)
        }
    }

    /** Takes over what other nodes told. */
    public fun merge(parts: List<KeptPart>) {
        for (part in parts) holdingOf(part.engine, part.model).kept[Part(part.adapter, part.part)] = Unit
    }

    /** Returns the shared parts that were read since the last call; the newest if there are very many. */
    public fun takeUnshared(): List<KeptPart> = untold.toList().also { untold.clear() }

    /** Forgets all but what [isResident] models keep: with a model an engine drops what it kept for it. */
    public fun retain(isResident: (UpstreamName, ModelName) -> Boolean) {
        holdings.keys.removeIf { (engine, model) -> !isResident(engine, model) }
    }

    private fun tell(
        engine: UpstreamName,
        demand: GenerationDemand,
        part: PromptPart,
    ) {
        untold.addLast(KeptPart(engine, demand.model, demand.adapter, part.identifier))
        if (untold.size > MAXIMUM_UNTOLD) untold.removeFirst()
    }

    private fun holdingOf(
        engine: UpstreamName,
        model: ModelName,
    ) = holdings.getOrPut(engine to model) { Holding(capacity) }

    private fun GenerationDemand.sharedParts(): List<PromptPart> = parts.dropLast(1)

    private fun partOf(
        demand: GenerationDemand,
        part: PromptPart,
    ) = Part(demand.adapter, part.identifier)

    private data class Part(
        val adapter: ModelName?,
        val identifier: String,
    )

    private class Holding(
        capacity: Int,
    ) {
        val beingRead = HashMap<Part, Int>()
        val kept =
            object : LinkedHashMap<Part, Unit>(INITIAL_SIZE, LOAD_FACTOR, true) {
                override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Part, Unit>): Boolean = size > capacity
            }
    }

    private companion object {
        /** An engine's memory holds fewer prompts than this. */
        const val DEFAULT_CAPACITY = 512

        /** More than a busy node's requests between two exchanges with its peers. */
        const val MAXIMUM_UNTOLD = 256
        const val INITIAL_SIZE = 64
        const val LOAD_FACTOR = 0.75f
    }
}
