package plantainturn.connection.upstream.internal

import plantainturn.connection.engine.EngineReport
import plantainturn.connection.upstream.DirectorySettings
import plantainturn.connection.upstream.ObservedReport
import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What this node observed of one upstream, under its own lock. */
internal class UpstreamRecord(
    val name: UpstreamName,
    val specification: UpstreamSpecification,
    private val settings: DirectorySettings,
) {
    private val lock = ReentrantLock()
    private var observed: ObservedReport? = null
    private var pollQueued = false
    private var pollBegan: Moment? = null
    private var failedPolls = 0
    private var roundTrip: Duration? = null
    private var failureWeight = 0.0
    private var weighedAt: Moment? = null
    private var publishedAt: Moment? = null

    /** Returns whether a poll may be queued, which it may not while one is queued or in flight. */
    fun queuePoll(): Boolean =
        lock.withLock {
            if (pollQueued) return false
            pollQueued = true
            true
        }

    /** Takes back a poll that found no thread. */
    fun abandonPoll() {
        lock.withLock { pollQueued = false }
    }

    /** Begins the queued poll. */
    fun beginPoll(now: Moment) {
        lock.withLock { pollBegan = now }
    }

    /** Ends the poll; [report] is null for a plain service that answered. */
    fun pollAnswered(
        report: EngineReport?,
        now: Moment,
    ) {
        lock.withLock {
            val began = pollBegan ?: now
            endPoll()
            failedPolls = 0
            val taken = now - began
            roundTrip = roundTrip?.let { it + (taken - it) * SMOOTHING } ?: taken
            if (report != null) keep(ObservedReport(name, report, began - report.ageMilliseconds.milliseconds))
        }
    }

    fun pollFailed() {
        lock.withLock {
            endPoll()
            failedPolls++
        }
    }

    /** Takes over what another node told, unless this node knows something later. */
    fun hear(heard: ObservedReport) {
        lock.withLock {
            val present = observed
            if (present == null || heard.takenAt > present.takenAt) observed = heard
        }
    }

    fun exchangeSucceeded(now: Moment) {
        lock.withLock {
            decay(now)
            failureWeight *= SUCCESS_FACTOR
        }
    }

    fun exchangeFailed(now: Moment) {
        lock.withLock {
            decay(now)
            failureWeight += 1
        }
    }

    fun latest(): ObservedReport? = lock.withLock { observed }

    fun roundTrip(): Duration? = lock.withLock { roundTrip }

    /**
     * Returns whether the upstream is to be avoided.
     *
     * @param usualRoundTrip the median of the upstreams that this node polls
     */
    fun suspected(
        now: Moment,
        usualRoundTrip: Duration?,
    ): Boolean =
        lock.withLock {
            decay(now)
            val hangs = pollBegan?.let { now - it >= settings.hangLimit } ?: false
            hangs ||
                failedPolls >= settings.failureLimit ||
                failureWeight >= settings.exchangeFailureLimit ||
                isSlow(usualRoundTrip)
        }

    /** Returns the report if it is time to tell it to the others. */
    fun takeToPublish(now: Moment): ObservedReport? =
        lock.withLock {
            val last = publishedAt
            if (last != null && now - last < settings.publishPeriod) return null
            publishedAt = now
            observed
        }

    private fun isSlow(usual: Duration?): Boolean {
        val own = roundTrip ?: return false
        return usual != null && own > settings.slowFloor && own > usual * settings.slowFactor
    }

    /** Keeps what is newer; the same report again can only have been taken later than was thought. */
    private fun keep(read: ObservedReport) {
        val present = observed
        val sameProcess = present != null && present.report.incarnation == read.report.incarnation
        if (present == null || !sameProcess || read.report.sequence > present.report.sequence) {
            observed = read
        } else if (read.report.sequence == present.report.sequence) {
            observed = read.copy(takenAt = maxOf(read.takenAt, present.takenAt))
        }
    }

    private fun endPoll() {
        pollBegan = null
        pollQueued = false
    }

    private fun decay(now: Moment) {
        val since = weighedAt
        if (since != null) failureWeight *= HALF.pow((now - since) / settings.failureHalfLife)
        weighedAt = now
    }

    private companion object {
        const val SMOOTHING = 0.3
        const val SUCCESS_FACTOR = 0.7
        const val HALF = 0.5
    }
}
