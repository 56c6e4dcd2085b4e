package plantainturn.replay.trace

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import plantainturn.request.RequestPriority
import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.TeamName
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.math.roundToInt
import kotlin.random.Random
import kotlin.time.DurationUnit

/**
 * Generates traces of a given shape.
 *
 * Each model has a base demand, drawn from a Zipf distribution over a shuffled order. Once in the trace it rises by
 * [WorkloadShape.burstFactor], within a minute, and half of the models rise a second time by half as much.
 */
internal class TraceGenerator(
    private val configuration: Configuration,
    private val shape: WorkloadShape,
    private val random: Random,
) {
    private val seconds = shape.duration.inWholeSeconds.toInt()
    private val sampler = Sampler(random)
    private val adaptersOf: Map<ModelName, List<ModelName>> =
        configuration.adapters.entries
            .groupBy({ it.value.baseModel }, { it.key })

    fun generate(): PersistentList<TraceRecord> {
        val records = interactive() + batches() + serviceCalls()
        return records.sortedBy { it.atMilliseconds }.toPersistentList()
    }

    private fun interactive(): List<TraceRecord> {
        val curves = demandCurves()
        val surge = surge()
        val records = mutableListOf<TraceRecord>()
        for (second in 0 until seconds) {
            for (curve in curves) {
                repeat(sampler.poisson(curve.rate(second) * surge.factor(second))) {
                    records += completion(curve.model, second)
                }
            }
        }
        return records
    }

    private fun demandCurves(): List<DemandCurve> {
        val models = configuration.models.keys.shuffled(random)
        val weights = models.indices.map { 1.0 / (it + 1.0).pow(shape.skew) }
        val curves = models.mapIndexed { index, model -> DemandCurve(model, weights[index], bursts()) }
        val average = curves.sumOf { it.average(seconds) }
        return curves.map { it.scaledBy(shape.requestsPerSecond / average) }
    }

    private fun bursts(): List<Burst> {
        val first = burst(shape.burstFactor)
        return if (random.nextBoolean()) listOf(first) else listOf(first, burst(shape.burstFactor / 2))
    }

    private fun burst(factor: Double): Burst {
        val shortest = shape.burstLength.start.toDouble(DurationUnit.SECONDS)
        val longest = shape.burstLength.endInclusive.toDouble(DurationUnit.SECONDS)
        val length = random.nextDouble(shortest, longest).coerceAtMost(seconds / 2.0)
        val start = random.nextDouble(0.0, seconds - length)
        return Burst(start, start + length, factor)
    }

    private fun surge(): Burst {
        val length = shape.surgeLength.toDouble(DurationUnit.SECONDS).coerceAtMost(seconds / 2.0)
        val start = random.nextDouble(seconds * EARLIEST_SURGE, seconds * LATEST_SURGE)
        return Burst(start, start + length, shape.surgeFactor)
    }

    private fun completion(
        model: ModelName,
        second: Int,
    ): TraceRecord.Completion =
        TraceRecord.Completion(
            atMilliseconds = second * MILLISECONDS + random.nextLong(MILLISECONDS),
            target = target(model),
            promptTokens = sampler.tokens(shape.medianPromptTokens, shape.promptSpread),
            answerTokens = sampler.tokens(shape.medianAnswerTokens, shape.answerSpread),
            team = TEAMS.random(random),
        )

    private fun target(model: ModelName): ModelName {
        val adapters = adaptersOf[model].orEmpty()
        return if (adapters.isNotEmpty() && random.nextDouble() < shape.adapterShare) adapters.random(random) else model
    }

    private fun batches(): List<TraceRecord> =
        List(shape.batches) {
            val model = configuration.models.keys.random(random)
            val start = random.nextInt((seconds * LATEST_BATCH).toInt())
            List(shape.requestsPerBatch) { batched(completion(model, start + random.nextInt(BATCH_SECONDS))) }
        }.flatten()

    private fun batched(record: TraceRecord.Completion): TraceRecord.Completion =
        record.copy(
            priority = RequestPriority.BATCH,
            deadlineMilliseconds = BATCH_DEADLINE_MILLISECONDS,
            firstTokenMilliseconds = BATCH_DEADLINE_MILLISECONDS,
            tokenMilliseconds = BATCH_TOKEN_MILLISECONDS,
        )

    private fun serviceCalls(): List<TraceRecord> {
        val service = configuration.services.keys.firstOrNull() ?: return emptyList()
        val records = mutableListOf<TraceRecord>()
        for (second in 0 until seconds) {
            repeat(sampler.poisson(shape.serviceCallsPerSecond)) {
                val at = second * MILLISECONDS + random.nextLong(MILLISECONDS)
                val record = TraceRecord.Service(at, service, "key-${records.size}")
                records += record
                if (random.nextDouble() <
                    SENT_AGAIN_SHARE
                ) {
                    records += record.copy(atMilliseconds = at + SENT_AGAIN_MILLISECONDS)
                }
            }
        }
        return records
    }

    private companion object {
        const val MILLISECONDS = 1000L
        const val EARLIEST_SURGE = 0.3
        const val LATEST_SURGE = 0.5
        const val LATEST_BATCH = 0.7
        const val BATCH_SECONDS = 20
        const val BATCH_DEADLINE_MILLISECONDS = 600_000L
        const val BATCH_TOKEN_MILLISECONDS = 100L
        const val SENT_AGAIN_SHARE = 0.01
        const val SENT_AGAIN_MILLISECONDS = 2_000L
        val TEAMS = listOf(TeamName("desk"), TeamName("bench"), TeamName("office"))
    }
}

/** A rise of demand by [factor] between two seconds of the trace, with ramps of up to a minute. */
internal data class Burst(
    val start: Double,
    val end: Double,
    val factor: Double,
) {
    fun factor(second: Int): Double {
        if (second < start || second > end) return 1.0
        val ramp = minOf(RAMP_SECONDS, (end - start) / 2)
        val risen = minOf(1.0, (second - start) / ramp, (end - second) / ramp)
        return 1.0 + (factor - 1.0) * risen
    }

    private companion object {
        const val RAMP_SECONDS = 60.0
    }
}

/** The demand for one model over the trace. */
internal class DemandCurve(
    val model: ModelName,
    private val base: Double,
    private val bursts: List<Burst>,
) {
    fun rate(second: Int): Double = base * bursts.maxOf { it.factor(second) }

    fun average(seconds: Int): Double = (0 until seconds).sumOf { rate(it) } / seconds

    fun scaledBy(factor: Double): DemandCurve = DemandCurve(model, base * factor, bursts)
}

/** Draws from the distributions that the generator needs. */
internal class Sampler(
    private val random: Random,
) {
    private val normal = java.util.Random(random.nextLong())

    fun poisson(mean: Double): Int {
        val limit = exp(-mean)
        var product = random.nextDouble()
        var count = 0
        while (product > limit) {
            count++
            product *= random.nextDouble()
        }
        return count
    }

    /** Draws from a log-normal distribution, cut off at [MAXIMUM_TOKENS]. */
    fun tokens(
        median: Double,
        spread: Double,
    ): Int = exp(ln(median) + spread * normal.nextGaussian()).roundToInt().coerceIn(MINIMUM_TOKENS, MAXIMUM_TOKENS)

    private companion object {
        const val MINIMUM_TOKENS = 4
        const val MAXIMUM_TOKENS = 2000
    }
}
