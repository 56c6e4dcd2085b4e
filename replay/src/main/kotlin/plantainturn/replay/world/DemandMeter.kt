package plantainturn.replay.world

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import plantainturn.version.configuration.ModelName
import plantainturn.version.placement.ModelDemand
import kotlin.math.exp

/**
 * Averages the demand for each model and adapter, as the nodes would tell the controller.
 *
 * Interactive requests alone count: those of batches wait until there is room.
 */
internal class DemandMeter {
    private class Meter {
        var arrivals = 0
        var fast = 0.0
        var slow = 0.0
        var peak = 0.0
        var answers = 0L
        var tokens = 0L
    }

    private val meters = HashMap<ModelName, Meter>()

    fun arrived(name: ModelName) {
        meters.getOrPut(name, ::Meter).arrivals++
    }

    fun answered(
        name: ModelName,
        tokens: Int,
    ) {
        val meter = meters.getOrPut(name, ::Meter)
        meter.answers++
        meter.tokens += tokens
    }

    /** Closes the second that has passed. */
    fun tick() {
        meters.values.forEach { meter ->
            meter.fast += (meter.arrivals - meter.fast) * FAST_GAIN
            meter.slow += (meter.arrivals - meter.slow) * SLOW_GAIN
            meter.peak = maxOf(meter.peak, meter.fast)
            meter.arrivals = 0
        }
    }

    fun demand(): PersistentMap<ModelName, ModelDemand> =
        meters
            .mapValues { (_, meter) ->
                ModelDemand(
                    fastRequestsPerSecond = meter.fast,
                    slowRequestsPerSecond = meter.slow,
                    peakRequestsPerSecond = meter.peak,
                    tokensPerRequest = if (meter.answers == 0L) 0.0 else meter.tokens.toDouble() / meter.answers,
                )
            }.toPersistentMap()

    private companion object {
        const val FAST_SECONDS = 15.0
        const val SLOW_SECONDS = 120.0
        val FAST_GAIN = 1 - exp(-1 / FAST_SECONDS)
        val SLOW_GAIN = 1 - exp(-1 / SLOW_SECONDS)
    }
}
