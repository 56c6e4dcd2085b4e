package plantainturn.process.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import plantainturn.process.time.TimerService
import plantainturn.process.time.TimerSubscription
import plantainturn.version.configuration.ModelName
import plantainturn.version.placement.DemandSource
import plantainturn.version.placement.ModelDemand
import kotlin.math.abs
import kotlin.math.floor
import kotlin.math.log10
import kotlin.math.pow
import kotlin.math.round
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Publishes this node's demand and returns the sum of the demand of all members.
 *
 * Published values are rounded to two significant digits, so that small changes are not sent.
 *
 * @param localDemand returns the demand that this node measured
 */
public class DemandGossip(
    private val membership: Membership,
    private val timer: TimerService,
    private val localDemand: DemandSource,
    private val period: Duration = DEFAULT_PERIOD,
) : DemandSource,
    AutoCloseable {
    private var subscription: TimerSubscription? = null

    /** Starts publishing. */
    public fun start() {
        subscription = timer.subscribe(period, ::publish)
    }

    override fun close() {
        subscription?.cancel()
    }

    override fun demand(): PersistentMap<ModelName, ModelDemand> {
        val others =
            membership
                .values(GossipValue.Demand::class)
                .filter { it.member != membership.self }
                .map { it.value.demand }
        return (others + localDemand.demand()).fold(persistentMapOf(), ::add)
    }

    private fun publish() {
        val rounded = localDemand.demand().mapValues { (_, demand) -> rounded(demand) }
        val parts = rounded.entries.groupBy { (name, _) -> partOf(name) }
        for (part in 0 until PART_COUNT) {
            val demand = parts[part].orEmpty().associate { it.key to it.value }
            publish(part, demand.toPersistentMap())
        }
    }

    /** Publishes a part. While the part is too large for a message, drops the model with the lowest demand. */
    private fun publish(
        part: Int,
        demand: PersistentMap<ModelName, ModelDemand>,
    ) {
        val published = membership.values(GossipValue.Demand::class)
        val publishedBefore = published.any { it.member == membership.self && it.value.part == part }
        if (demand.isEmpty() && !publishedBefore) return
        var rest = demand
        while (membership.publish(GossipValue.Demand(part, rest)) is PublishResult.TooLarge) {
            rest = rest.remove(rest.minBy { it.value.slowRequestsPerSecond }.key)
        }
    }

    private fun add(
        sum: PersistentMap<ModelName, ModelDemand>,
        demand: Map<ModelName, ModelDemand>,
    ): PersistentMap<ModelName, ModelDemand> =
        demand.entries.fold(sum) { total, (name, more) ->
            total.put(name, total[name]?.let { sumOf(it, more) } ?: more)
        }

    private fun sumOf(
        first: ModelDemand,
        second: ModelDemand,
    ): ModelDemand {
        val slow = first.slowRequestsPerSecond + second.slowRequestsPerSecond
        val tokens =
            first.tokensPerRequest * first.slowRequestsPerSecond +
                second.tokensPerRequest * second.slowRequestsPerSecond
        return ModelDemand(
            fastRequestsPerSecond = first.fastRequestsPerSecond + second.fastRequestsPerSecond,
            slowRequestsPerSecond = slow,
            peakRequestsPerSecond = first.peakRequestsPerSecond + second.peakRequestsPerSecond,
            tokensPerRequest = if (slow > 0) tokens / slow else maxOf(first.tokensPerRequest, second.tokensPerRequest),
            waiting = first.waiting + second.waiting,
        )
    }

    private fun rounded(demand: ModelDemand): ModelDemand =
        ModelDemand(
            fastRequestsPerSecond = rounded(demand.fastRequestsPerSecond),
            slowRequestsPerSecond = rounded(demand.slowRequestsPerSecond),
            peakRequestsPerSecond = rounded(demand.peakRequestsPerSecond),
            tokensPerRequest = rounded(demand.tokensPerRequest),
            waiting = rounded(demand.waiting.toDouble()).toInt(),
        )

    private fun rounded(value: Double): Double {
        if (abs(value) < MINIMUM_MAGNITUDE) return 0.0
        val scale = RADIX.pow(1 - floor(log10(abs(value))))
        return round(value * scale) / scale
    }

    private fun partOf(name: ModelName): Int = name.value.hashCode().mod(PART_COUNT)

    private companion object {
        val DEFAULT_PERIOD = 2.seconds
        const val PART_COUNT = 32
        const val MINIMUM_MAGNITUDE = 0.001
        const val RADIX = 10.0
    }
}
