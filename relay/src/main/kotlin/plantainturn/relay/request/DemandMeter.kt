package plantainturn.relay.request

import plantainturn.process.control.residence.ModelPressure
import plantainturn.process.time.DecayingSum
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.request.relay.GenerationDemand
import plantainturn.version.configuration.ModelName
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Measures the demand of this node's callers for each model and adapter, as averages that decay over seconds.
 *
 * Demand is counted when requests arrive, not when engines get them. If demand moves to a model that is not resident
 * anywhere, the model is thus loaded at once on as many engines as it needs.
 */
internal class DemandMeter(
    private val timer: TimerService,
) {
    private val models = HashMap<ModelName, Rate>()
    private val work = HashMap<ModelName, Rate>()
    private val adapters = HashMap<Pair<ModelName, ModelName>, Rate>()
    private var firstAt: Moment? = null
    private val running = HashMap<Pair<ModelName, ModelName>, Int>()

    /** Counts the arrival of a request that will take [engineTime] of an engine. */
    fun onRequest(
        demand: GenerationDemand,
        worth: Double,
        engineTime: Duration,
    ) {
        if (firstAt == null) firstAt = timer.now()
        models.getOrPut(demand.model) { Rate(WORTH_DECAY_TIME) }.add(worth)
        work
            .getOrPut(demand.model) { Rate(WORK_DECAY_TIME) }
            .add(engineTime.toDouble(DurationUnit.SECONDS))
        val adapter = demand.adapter ?: return
        adapters.getOrPut(demand.model to adapter) { Rate(WORTH_DECAY_TIME) }.add(worth)
    }

    /** Returns the demand for each model; [waiting] is the number of requests that wait for each model. */
    fun pressure(waiting: Map<ModelName, Int>): Map<ModelName, ModelPressure> {
        models.values.removeIf { it.isNegligible() }
        return (models.keys + waiting.keys).associateWith { model ->
            ModelPressure(
                worthPerSecond = models[model]?.perSecond() ?: 0.0,
                engineSharesWanted = work[model]?.perSecond() ?: 0.0,
                waiting = waiting[model] ?: 0,
                adapterWorthPerSecond =
                    adapters.entries.filter { it.key.first == model }.sumOf { it.value.perSecond() },
            )
        }
    }

    /** Adds [change] to the running requests of the adapter in [demand]: 1 when one is sent, -1 when it ends. */
    fun onAdapterRunning(
        demand: GenerationDemand,
        change: Int,
    ) {
        val adapter = demand.adapter ?: return
        running.merge(demand.model to adapter, change) { before, more -> (before + more).takeIf { it > 0 } }
    }

    /** Returns the demand for each adapter, keyed by model and adapter. */
    fun adapterUse(): Map<Pair<ModelName, ModelName>, AdapterDemand> {
        adapters.values.removeIf { it.isNegligible() }
        return (adapters.keys + running.keys).associateWith { adapter ->
            AdapterDemand(adapters[adapter]?.perSecond() ?: 0.0, running[adapter] ?: 0)
        }
    }

    private inner class Rate(
        private val decayTime: Duration,
    ) {
        private val sum = DecayingSum(decayTime)

        fun add(amount: Double) = sum.add(amount, timer.now())

        /** Averages over the elapsed time only; right after the start, a busy model would otherwise look idle. */
        fun perSecond(): Double {
            val now = timer.now()
            val measured = firstAt?.let { now - it } ?: Duration.ZERO
            return sum.perSecond(now) / (1.0 - exp(-maxOf(measured, MINIMUM_ELAPSED) / decayTime))
        }

        fun isNegligible(): Boolean = perSecond() < NEGLIGIBLE_RATE
    }

    private companion object {
        /** Below the time of a load from a remote weight store; demand that lasts less long is not worth a load. */
        val WORTH_DECAY_TIME = 5.seconds

        /** Lower bound of the elapsed time for averages; a node sees a few requests in this time. */
        val MINIMUM_ELAPSED = 500.milliseconds

        /** Short compared with the time in which load rises. */
        val WORK_DECAY_TIME = 3.seconds
        const val NEGLIGIBLE_RATE = 0.005
    }
}
