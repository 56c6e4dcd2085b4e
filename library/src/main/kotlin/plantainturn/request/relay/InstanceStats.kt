package plantainturn.request.relay

import plantainturn.process.time.FadingSum
import plantainturn.process.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * What this node knows of the work at one instance: its own requests exactly, those of the other nodes as last told.
 *
 * @param startedAt Unix milliseconds of the run of the instance that this standing is about
 */
public class InstanceStats(
    public val startedAt: Long?,
) {
    /** What outcomes say about the instance. */
    public val health: InstanceHealth = InstanceHealth()

    /** Requests of this node that are there. */
    public var ownRunning: Int = 0
        private set

    /** Prompt tokens of this node's requests that the instance has still to read, as estimated. */
    public var ownPrefillTokens: Int = 0
        private set

    /** Cache tokens that this node's requests there take, as estimated. */
    public var ownUsedCacheTokens: Int = 0
        private set

    /** The same of the other nodes together. */
    public var others: WorkTotals = WorkTotals.NONE

    private val reading = FadingSum(READING_MEMORY)
    private var reported: ReportedLoad? = null
    private var reportedAt: Moment = Moment.ORIGIN

    /** When the latest request was sent that the instance began to answer, null if it answered none. */
    public var latestAnsweredSendAt: Moment? = null
        private set

    /** How long the instance takes for a whole answer, a fading average; null before the first. */
    public var answerTime: Duration? = null
        private set

    /** Notes that a request was sent. */
    public fun begin(
        work: RequestWork,
        now: Moment,
    ) {
        reading.add(work.prefillTime.toDouble(DurationUnit.SECONDS), now)
        ownRunning += 1
        ownPrefillTokens += work.prefillTokens
        ownUsedCacheTokens += work.usedCacheTokens
    }

    /** Notes that the prompt of a request was read: its first event came. */
    public fun onPrefillDone(work: RequestWork) {
        ownPrefillTokens -= work.prefillTokens
    }

    /** Notes that a request ended there. */
    public fun end(
        work: RequestWork,
        promptWasRead: Boolean,
    ) {
        ownRunning -= 1
        ownUsedCacheTokens -= work.usedCacheTokens
        if (!promptWasRead) ownPrefillTokens -= work.prefillTokens
    }

    /** Notes that the instance began to answer a request that was sent at [sentAt]. */
    public fun onAnswerBegun(sentAt: Moment) {
        latestAnsweredSendAt = latestAnsweredSendAt?.let { maxOf(it, sentAt) } ?: sentAt
    }

    /** Takes in what the instance said of its load. */
    public fun onReportedLoad(
        load: ReportedLoad,
        now: Moment,
    ) {
        reported = load
        reportedAt = now
    }

    /** Takes in the time of one whole answer. */
    public fun onAnswerTime(time: Duration) {
        val before = answerTime
        answerTime = if (before == null) time else before * KEPT + time * (1.0 - KEPT)
    }

    /** Returns requests of all nodes there, as far as known: what was counted, or what it told if that is fresh. */
    public fun running(now: Moment): Int {
        val counted = ownRunning + others.running
        val told = reported?.takeIf { now - reportedAt < REPORT_FRESHNESS } ?: return counted
        return maxOf(counted, told.running + told.waiting)
    }

    /** Returns prompt tokens of all nodes' requests that are still to be read. */
    public fun prefillTokens(): Int = ownPrefillTokens + others.prefillTokens

    /** Returns cache tokens that all nodes' requests take. */
    public fun usedCacheTokens(): Int = ownUsedCacheTokens + others.usedCacheTokens

    /** Returns the part of the instance's time that this node's requests lately took for reading. */
    public fun ownPrefillShare(now: Moment): Double = reading.perSecond(now)

    /** Returns the part of the instance's time that all nodes' requests lately took for reading. */
    public fun prefillShare(now: Moment): Double = ownPrefillShare(now) + others.prefillShare

    private companion object {
        /** A few of the longest prompts; a stream that is slowed for this long still ends in time. */
        val READING_MEMORY = 3.seconds
        const val KEPT = 0.8

        /** An answer's load is that of its beginning; later it says little. */
        val REPORT_FRESHNESS = 150.milliseconds
    }
}
