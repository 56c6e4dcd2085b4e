package plantainturn.relay.request

import plantainturn.process.control.residence.ModelPressure
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.request.relay.GenerationDemand
import plantainturn.version.configuration.ModelName
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Measures what callers of this node want of each model and adapter, as averages that fade over seconds. */
internal class DemandMeter(
    private val timer: TimerService,
) {
    private val models = HashMap<ModelName, Faded>()
    private val adapters = HashMap<Pair<ModelName, ModelName>, Faded>()
    private val running = HashMap<Pair<ModelName, ModelName>, Int>()

    /** Notes that a request arrived. */
    fun onRequest(
        demand: GenerationDemand,
        worth: Double,
        engineTime: Duration,
    ) {
        val now = timer.now()
        models.getOrPut(demand.model) { Faded(now) }.add(now, worth, engineTime.toDouble(DurationUnit.SECONDS))
        val adapter = demand.adapter ?: return
        adapters.getOrPut(demand.model to adapter) { Faded(now) }.add(now, worth, 0.0)
    }

    /** Returns what is wanted of each model; [waiting] counts requests that wait for it. */
    fun pressure(waiting: Map<ModelName, Int>): Map<ModelName, ModelPressure> {
        val now = timer.now()
        models.values.removeIf { it.isForgotten(now) }
        return (models.keys + waiting.keys).associateWith { model ->
            val faded = models[model]
            ModelPressure(faded?.worth(now) ?: 0.0, faded?.shares(now) ?: 0.0, waiting[model] ?: 0)
        }
    }

    /** Notes that a request that uses an adapter was sent or has ended. */
    fun onAdapterRunning(
        demand: GenerationDemand,
        change: Int,
    ) {
        val adapter = demand.adapter ?: return
        running.merge(demand.model to adapter, change) { before, more -> (before + more).takeIf { it > 0 } }
    }

    /** Returns how much each adapter is wanted, by model and adapter; one that requests use counts far more. */
    fun adapterUse(): Map<Pair<ModelName, ModelName>, Double> {
        val now = timer.now()
        adapters.values.removeIf { it.isForgotten(now) }
        return (adapters.keys + running.keys).associateWith { adapter ->
            (adapters[adapter]?.worth(now) ?: 0.0) + (running[adapter] ?: 0) * RUNNING_WEIGHT
        }
    }

    private class Faded(
        private var at: Moment,
    ) {
        private var worthSum = 0.0
        private var shareSum = 0.0

        fun add(
            now: Moment,
            worth: Double,
            share: Double,
        ) {
            fade(now)
            worthSum += worth
            shareSum += share
        }

        fun worth(now: Moment): Double {
            fade(now)
            return worthSum / MEMORY_SECONDS
        }

        fun shares(now: Moment): Double {
            fade(now)
            return shareSum / MEMORY_SECONDS
        }

        fun isForgotten(now: Moment): Boolean = worth(now) < NEGLIGIBLE

        private fun fade(now: Moment) {
            val factor = exp(-(now - at).toDouble(DurationUnit.SECONDS) / MEMORY_SECONDS)
            worthSum *= factor
            shareSum *= factor
            at = now
        }
    }

    private companion object {
        /** Short against the time in which demand moves, long against the gaps between requests of a wanted model. */
        const val MEMORY_SECONDS = 3.0
        const val NEGLIGIBLE = 0.005
        const val RUNNING_WEIGHT = 100.0
    }
}
