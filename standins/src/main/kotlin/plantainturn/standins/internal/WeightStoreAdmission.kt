package plantainturn.standins.internal

import plantainturn.process.time.Moment
import plantainturn.standins.WeightLoadAdmission
import plantainturn.standins.WeightStoreStandInSettings
import plantainturn.standins.WeightStoreTruth
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Decides how long each load takes, given those in flight and the rate at which models may begin. */
internal class WeightStoreAdmission(
    private val settings: WeightStoreStandInSettings,
) {
    private val lock = ReentrantLock()
    private val modelEnds = mutableListOf<Moment>()
    private val adapterEnds = mutableListOf<Moment>()
    private var nextStart: Moment? = null
    private var modelLoads = 0L
    private var adapterLoads = 0L
    private var beyondLimits = 0L
    private var mostModels = 0
    private var mostAdapters = 0

    fun admit(
        adapter: Boolean,
        now: Moment,
    ): WeightLoadAdmission =
        lock.withLock {
            modelEnds.removeAll { it <= now }
            adapterEnds.removeAll { it <= now }
            if (adapter) admitAdapter(now) else admitModel(now)
        }

    fun truth(): WeightStoreTruth =
        lock.withLock { WeightStoreTruth(modelLoads, adapterLoads, beyondLimits, mostModels, mostAdapters) }

    private fun admitAdapter(now: Moment): WeightLoadAdmission {
        val limit = settings.limits.concurrentAdapterLoads
        val duration = stretched(settings.adapterLoadMilliseconds, adapterEnds.size + 1, limit)
        adapterEnds += now + duration.milliseconds
        mostAdapters = maxOf(mostAdapters, adapterEnds.size)
        adapterLoads++
        if (adapterEnds.size > limit) beyondLimits++
        return WeightLoadAdmission(0, duration)
    }

    private fun admitModel(now: Moment): WeightLoadAdmission {
        val start = maxOf(now, nextStart ?: now)
        nextStart = start + (1.seconds / settings.limits.loadsPerSecond)
        val limit = settings.limits.concurrentLoads
        val duration = stretched(settings.modelLoadMilliseconds, modelEnds.size + 1, limit)
        modelEnds += start + duration.milliseconds
        mostModels = maxOf(mostModels, modelEnds.size)
        modelLoads++
        if (start > now || modelEnds.size > limit) beyondLimits++
        return WeightLoadAdmission((start - now).inWholeMilliseconds, duration)
    }

    private fun stretched(
        milliseconds: Long,
        inFlight: Int,
        limit: Int,
    ): Long = (milliseconds * maxOf(1.0, inFlight.toDouble() / limit)).toLong()
}
