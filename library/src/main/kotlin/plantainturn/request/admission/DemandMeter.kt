package plantainturn.request.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import plantainturn.process.time.Moment
import plantainturn.version.configuration.ModelName
import plantainturn.version.placement.ModelDemand
import java.util.concurrent.ConcurrentHashMap

/**
 * Measures the demand for each model and adapter from the requests of this node.
 *
 * Recording a request takes constant time under the lock of its model.
 */
public class DemandMeter {
    private val meters = ConcurrentHashMap<ModelName, ModelDemandMeter>()

    /** Records the arrival of a request for [target], whether or not it is answered later. */
    public fun recordArrival(
        target: ModelName,
        now: Moment,
    ): Unit = meterOf(target).recordArrival(now)

    /** Records that a request for [target] was answered with [tokens] tokens. */
    public fun recordAnswer(
        target: ModelName,
        tokens: Int,
    ): Unit = meterOf(target).recordAnswer(tokens)

    /**
     * Returns the demand for each target that received a request within the last two hours.
     *
     * @param waiting returns the number of requests that currently wait for a target
     */
    public fun snapshot(
        now: Moment,
        waiting: (ModelName) -> Int,
    ): PersistentMap<ModelName, ModelDemand> {
        meters.values.removeIf { it.isForgotten(now) }
        return meters.mapValues { (name, meter) -> meter.read(now, waiting(name)) }.toPersistentMap()
    }

    private fun meterOf(target: ModelName): ModelDemandMeter =
        meters[target] ?: meters.computeIfAbsent(target) { ModelDemandMeter() }
}
