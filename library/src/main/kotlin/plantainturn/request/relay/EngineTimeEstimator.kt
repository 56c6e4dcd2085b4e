package plantainturn.request.relay

import plantainturn.version.configuration.ModelName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Estimates how long engines take to process prompts of each model, from observed times to the first event.
 *
 * Load pattern: a small model that most requests ask for processes prompts several times as fast as the others, and
 * most requests have few tokens to process, so that their times say nothing about the rate. Only times that are
 * dominated by prefill correct the estimate.
 */
public class EngineTimeEstimator(
    private val nominal: EngineRates = EngineRates(),
) {
    private val modelFactors = HashMap<ModelName, Double>()
    private val sampleCounts = HashMap<ModelName, Int>()

    /**
     * Returns the expected time to the first event of a request of [model].
     *
     * @param prefillTokens all prompt tokens to be processed until then, those of earlier requests included
     */
    public fun timeToFirstEvent(
        model: ModelName,
        prefillTokens: Int,
    ): Duration = nominal.base + nominal.perToken * prefillTokens * factorOf(model)

    /** Returns the engine time that a request takes: prefill, and its share of the steps that generate. */
    public fun engineTime(
        model: ModelName,
        prefillTokens: Int,
        outputTokens: Int,
    ): Duration = (nominal.perToken * prefillTokens + nominal.perOutputToken * outputTokens) * factorOf(model)

    /** Returns the engine time that a request with [demand] typically takes, at whichever engine. */
    public fun typicalTime(demand: GenerationDemand): Duration {
        val unshared = demand.parts.lastOrNull()?.tokens ?: demand.promptTokens
        val sharedPrefill = (demand.promptTokens - unshared).coerceAtLeast(0) * SHARED_PREFILL_SHARE
        return engineTime(demand.model, unshared + sharedPrefill.toInt(), demand.outputTokens)
    }

    /** Adds an observation: a request with no others ahead of it had its first event after [observed]. */
    public fun observe(
        model: ModelName,
        prefillTokens: Int,
        observed: Duration,
    ) {
        if (prefillTokens < MINIMUM_SAMPLE_TOKENS) return
        val prefillSeconds = (observed - nominal.base).toDouble(DurationUnit.SECONDS)
        val ratio = prefillSeconds / (nominal.perToken * prefillTokens).toDouble(DurationUnit.SECONDS)
        val count = (sampleCounts[model] ?: 0) + 1
        sampleCounts[model] = count
        val weight = maxOf(1.0 - HISTORY_WEIGHT, 1.0 / (count + 1))
        modelFactors[model] = factorOf(model) * (1.0 - weight) + ratio.coerceIn(MINIMUM_FACTOR, MAXIMUM_FACTOR) * weight
    }

    private fun factorOf(model: ModelName): Double = modelFactors[model] ?: 1.0

    /**
     * How fast an engine processes prompts and generates, for a model of full size.
     *
     * @property base time from sending to the first event for an empty prompt
     * @property perToken time to process one prompt token
     * @property perOutputToken engine time that one more request in a batch adds to each of its tokens; a step takes
     *   nearly the same time for one request as for all
     */
    public data class EngineRates(
        val base: Duration = 25.milliseconds,
        val perToken: Duration = 0.026.milliseconds,
        val perOutputToken: Duration = 0.07.milliseconds,
    )

    private companion object {
        const val HISTORY_WEIGHT = 0.9
        const val MINIMUM_FACTOR = 0.1
        const val MAXIMUM_FACTOR = 4.0

        /** Fraction of shared prompt tokens that miss the engines' caches; about a fifth in load tests. */
        const val SHARED_PREFILL_SHARE = 0.2

        /** About the tokens that are processed in the time that an empty prompt takes. */
        const val MINIMUM_SAMPLE_TOKENS = 1_000
    }
}
