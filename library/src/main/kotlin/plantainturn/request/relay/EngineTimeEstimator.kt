package plantainturn.request.relay

import plantainturn.version.configuration.ModelName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Learns how fast engines read prompts of each model, from the times to the first event that were seen.
 *
 * Load pattern: a small model that most requests ask for reads several times as fast as the others, and most requests
 * have little to read, so that their times say nothing of the rate. Only times that reading dominates correct it.
 */
public class EngineTimeEstimator(
    private val initial: ReadingRate = ReadingRate(),
) {
    private val factors = HashMap<ModelName, Double>()
    private val counts = HashMap<ModelName, Int>()

    /** Returns the expected time to the first event of a request of [model] behind [prefillTokens] in all. */
    public fun firstEvent(
        model: ModelName,
        prefillTokens: Int,
    ): Duration = initial.base + initial.perToken * prefillTokens * factorOf(model)

    /** Returns engine time that a request takes: reading, and its share of the steps that generate. */
    public fun engineTime(
        model: ModelName,
        prefillTokens: Int,
        outputTokens: Int,
    ): Duration = (initial.perToken * prefillTokens + initial.perOutputToken * outputTokens) * factorOf(model)

    /** Returns the engine time that a request with [demand] usually takes, wherever it goes. */
    public fun typicalTime(demand: GenerationDemand): Duration {
        val own = demand.parts.lastOrNull()?.tokens ?: demand.promptTokens
        val sharedRead = (demand.promptTokens - own).coerceAtLeast(0) * SHARED_READ
        return engineTime(demand.model, own + sharedRead.toInt(), demand.outputTokens)
    }

    /** Takes in that a request with nothing ahead of it had its first event after [seen]. */
    public fun observe(
        model: ModelName,
        prefillTokens: Int,
        seen: Duration,
    ) {
        if (prefillTokens < LEAST_TELLING) return
        val reading = (seen - initial.base).toDouble(DurationUnit.SECONDS)
        val ratio = reading / (initial.perToken * prefillTokens).toDouble(DurationUnit.SECONDS)
        val count = (counts[model] ?: 0) + 1
        counts[model] = count
        val weight = maxOf(1.0 - KEPT, 1.0 / (count + 1))
        factors[model] = factorOf(model) * (1.0 - weight) + ratio.coerceIn(SMALLEST, LARGEST) * weight
    }

    private fun factorOf(model: ModelName): Double = factors[model] ?: 1.0

    /**
     * How an engine reads prompts, for a model of full size.
     *
     * @property base from sending to the first event of an empty prompt
     * @property perToken to read one prompt token
     * @property perOutputToken engine time that one more request in a batch adds to each of its tokens; a step takes
     * nearly the same time for one request as for all
     */
    public data class ReadingRate(
        val base: Duration = 25.milliseconds,
        val perToken: Duration = 0.026.milliseconds,
        val perOutputToken: Duration = 0.07.milliseconds,
    )

    private companion object {
        const val KEPT = 0.9
        const val SMALLEST = 0.1
        const val LARGEST = 4.0

        /** Part of the shared tokens of prompts that engines read; of played days' tokens about a fifth. */
        const val SHARED_READ = 0.2

        /** About the tokens that are read in the time that an empty prompt takes. */
        const val LEAST_TELLING = 1_000
    }
}
