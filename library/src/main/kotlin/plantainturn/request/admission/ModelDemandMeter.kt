package plantainturn.request.admission

import plantainturn.process.time.DecayingSum
import plantainturn.process.time.Moment
import plantainturn.version.placement.ModelDemand
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Measures the demand for one model or adapter. */
internal class ModelDemandMeter {
    private val lock = ReentrantLock()
    private val fast = DecayingSum(FAST_WINDOW)
    private val slow = DecayingSum(SLOW_WINDOW)
    private val peaks = DoubleArray(PEAK_SLOTS)
    private var peakSlot = 0L
    private var tokensPerRequest = 0.0
    private var lastArrival: Moment? = null

    fun recordArrival(now: Moment): Unit =
        lock.withLock {
            slow.add(1.0, now)
            fast.add(1.0, now)
            lastArrival = now
            recordPeak(now)
        }

    fun recordAnswer(tokens: Int): Unit =
        lock.withLock {
            val hasAverage = tokensPerRequest > 0.0
            tokensPerRequest =
                if (hasAverage) tokensPerRequest + (tokens - tokensPerRequest) * SMOOTHING else tokens.toDouble()
        }

    fun read(
        now: Moment,
        waiting: Int,
    ): ModelDemand =
        lock.withLock {
            clearOldPeaks(now)
            ModelDemand(
                fastRequestsPerSecond = fast.perSecond(now),
                slowRequestsPerSecond = slow.perSecond(now),
                peakRequestsPerSecond = peaks.max(),
                tokensPerRequest = tokensPerRequest,
                waiting = waiting,
            )
        }

    fun isForgotten(now: Moment): Boolean =
        lock.withLock { lastArrival.let { it == null || now - it > FORGOTTEN_AFTER } }

    private fun recordPeak(now: Moment) {
        clearOldPeaks(now)
        val index = peakSlot.mod(PEAK_SLOTS)
        peaks[index] = maxOf(peaks[index], fast.perSecond(now))
    }

    private fun clearOldPeaks(now: Moment) {
        val slot = now.nanoseconds.floorDiv(PEAK_SLOT_LENGTH.inWholeNanoseconds)
        if (slot - peakSlot >= PEAK_SLOTS) peaks.fill(0.0)
        for (passed in maxOf(peakSlot + 1, slot - PEAK_SLOTS + 1)..slot) peaks[passed.mod(PEAK_SLOTS)] = 0.0
        peakSlot = maxOf(slot, peakSlot)
    }

    private companion object {
        const val SMOOTHING = 0.1
        const val PEAK_SLOTS = 12
        val PEAK_SLOT_LENGTH = 5.minutes
        val FAST_WINDOW = 10.seconds
        val SLOW_WINDOW = 5.minutes
        val FORGOTTEN_AFTER = 2.hours
    }
}
