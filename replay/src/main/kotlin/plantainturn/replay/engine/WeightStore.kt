package plantainturn.replay.engine

import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.process.time.TimerSubscription
import plantainturn.version.configuration.WeightStoreLimits
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A load of model weights in progress. */
internal class WeightLoad(
    var remainingMegabytes: Double,
    val done: () -> Unit,
)

/**
 * The weight store.
 *
 * Loads begin at the store's rate, in the order in which they were asked for. Beyond the number at full speed, those
 * that run share what that number would get. An adapter's load takes proportionally longer beyond its limit.
 */
internal class WeightStore(
    private val limits: WeightStoreLimits,
    private val profile: EngineProfile,
    private val timer: TimerService,
    private val random: Random,
) {
    private val running = LinkedHashSet<WeightLoad>()
    private var advancedAt = timer.now()
    private var nextStart = timer.now()
    private var nextEnd: TimerSubscription? = null
    private var adaptersInFlight = 0

    fun loadModel(
        megabytes: Long,
        done: () -> Unit,
    ): WeightLoad {
        val load = WeightLoad(megabytes.toDouble(), done)
        val start = maxOf(nextStart, timer.now())
        nextStart = start + (1 / limits.loadsPerSecond).seconds
        timer.schedule(start - timer.now()) { begin(load) }
        return load
    }

    fun loadAdapter(done: () -> Unit) {
        adaptersInFlight++
        val shortest = profile.shortestAdapterLoad.toDouble(DurationUnit.SECONDS)
        val longest = profile.longestAdapterLoad.toDouble(DurationUnit.SECONDS)
        val excess = maxOf(1.0, adaptersInFlight.toDouble() / limits.concurrentAdapterLoads)
        timer.schedule((random.nextDouble(shortest, longest) * excess).seconds) {
            adaptersInFlight--
            done()
        }
    }

    fun cancel(load: WeightLoad) {
        advance()
        load.remainingMegabytes = -1.0
        running -= load
        scheduleEnd()
    }

    private fun begin(load: WeightLoad) {
        if (load.remainingMegabytes < 0) return
        advance()
        running += load
        scheduleEnd()
    }

    private fun speed(): Double =
        profile.loadMegabytesPerSecond * minOf(1.0, limits.concurrentLoads.toDouble() / running.size)

    private fun advance() {
        val now: Moment = timer.now()
        val moved = if (running.isEmpty()) 0.0 else speed() * (now - advancedAt).toDouble(DurationUnit.SECONDS)
        running.forEach { it.remainingMegabytes -= moved }
        advancedAt = now
    }

    private fun scheduleEnd() {
        nextEnd?.cancel()
        val next = running.minOfOrNull { it.remainingMegabytes } ?: return
        nextEnd = timer.schedule(maxOf(MINIMUM_SECONDS, next / speed()).seconds, ::end)
    }

    private fun end() {
        advance()
        val ended = running.filter { it.remainingMegabytes <= NEARLY_NOTHING_MEGABYTES }
        running -= ended.toSet()
        scheduleEnd()
        ended.forEach { it.done() }
    }

    private companion object {
        const val NEARLY_NOTHING_MEGABYTES = 0.001
        const val MINIMUM_SECONDS = 1e-6
    }
}
