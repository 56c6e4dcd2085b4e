package plantainturn.relay.request

import plantainturn.process.control.residence.ModelPressure
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.request.relay.GenerationDemand
import plantainturn.version.configuration.ModelName
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Measures what callers of this node want of each model and adapter, as averages that fade over seconds.
 *
 * Load pattern: demand moves to a model that is resident nowhere. What it will need counts from when requests arrive,
 * not from when engines get them, so that it is brought to as many engines as it needs at once.
 */
internal class DemandMeter(
    private val timer: TimerService,
) {
    private val models = HashMap<ModelName, Faded>()
    private val work = HashMap<ModelName, Faded>()
    private val adapters = HashMap<Pair<ModelName, ModelName>, Faded>()
    private var firstAt: Moment? = null
    private val running = HashMap<Pair<ModelName, ModelName>, Int>()

    /** Notes that a request arrived that will take [engineTime] of an engine. */
    fun onRequest(
        demand: GenerationDemand,
        worth: Double,
        engineTime: Duration,
    ) {
        val now = timer.now()
        if (firstAt == null) firstAt = now
        models.getOrPut(demand.model) { Faded(now, WORTH_MEMORY_SECONDS) }.add(now, worth)
        work
            .getOrPut(demand.model) { Faded(now, WORK_MEMORY_SECONDS) }
            .add(now, engineTime.toDouble(DurationUnit.SECONDS))
        val adapter = demand.adapter ?: return
        adapters.getOrPut(demand.model to adapter) { Faded(now, WORTH_MEMORY_SECONDS) }.add(now, worth)
    }

    /** Returns what is wanted of each model; [waiting] counts requests that wait for it. */
    fun pressure(waiting: Map<ModelName, Int>): Map<ModelName, ModelPressure> {
        val now = timer.now()
        models.values.removeIf { it.isForgotten(now) }
        return (models.keys + waiting.keys).associateWith { model ->
            ModelPressure(
                worthPerSecond = models[model]?.perSecond(now) ?: 0.0,
                engineSharesWanted = work[model]?.perSecond(now) ?: 0.0,
                waiting = waiting[model] ?: 0,
                adapterWorthPerSecond =
                    adapters.entries.filter { it.key.first == model }.sumOf { it.value.perSecond(now) },
            )
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
            (adapters[adapter]?.perSecond(now) ?: 0.0) + (running[adapter] ?: 0) * RUNNING_WEIGHT
        }
    }

    private inner class Faded(
        private var at: Moment,
        private val memorySeconds: Double,
    ) {
        private var sum = 0.0

        fun add(
            now: Moment,
            amount: Double,
        ) {
            fade(now)
            sum += amount
        }

        fun perSecond(now: Moment): Double {
            fade(now)
            return sum / (memorySeconds * measuredShare(now))
        }

        fun isForgotten(now: Moment): Boolean = perSecond(now) < NEGLIGIBLE

        /** Averages over a time that has not passed yet would be too low, and a busy model would look idle. */
        private fun measuredShare(now: Moment): Double {
            val measured = firstAt?.let { (now - it).toDouble(DurationUnit.SECONDS) } ?: 0.0
            return 1.0 - exp(-maxOf(measured, SHORTEST_MEASURED_SECONDS) / memorySeconds)
        }

        private fun fade(now: Moment) {
            sum *= exp(-(now - at).toDouble(DurationUnit.SECONDS) / memorySeconds)
            at = now
        }
    }

    private companion object {
        /** Below a load from a far weight store; what is wanted for a shorter time is not worth one. */
        const val WORTH_MEMORY_SECONDS = 5.0

        /** A node sees a few requests in this time. */
        const val SHORTEST_MEASURED_SECONDS = 0.5

        /** Short against the time in which load rises. */
        const val WORK_MEMORY_SECONDS = 3.0
        const val NEGLIGIBLE = 0.005
        const val RUNNING_WEIGHT = 100.0
    }
}
