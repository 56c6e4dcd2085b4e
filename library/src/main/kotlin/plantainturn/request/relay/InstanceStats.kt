package plantainturn.request.relay

import plantainturn.process.time.DecayingSum
import plantainturn.process.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Tracks the load of one instance: this node's requests exactly, those of the other nodes as last reported.
 *
 * @param startedAt when the run of the instance began that the figures are about, in Unix milliseconds
 */
public class InstanceStats(
    public val startedAt: Long?,
) {
    /** Decides from the outcomes of requests whether the instance is suspected. */
    public val health: InstanceHealth = InstanceHealth()

    /** Learns how fast the instance works. */
    public val pace: InstancePace = InstancePace()

    /** Requests of this node at the instance. */
    public var ownRunning: Int = 0
        private set

    /** Estimated prompt tokens of this node's requests that the instance has yet to process. */
    public var ownPrefillTokens: Int = 0
        private set

    /** Estimated KV cache tokens that this node's requests use there. */
    public var ownUsedCacheTokens: Int = 0
        private set

    /** The work of all other nodes at the instance. */
    public var others: WorkTotals = WorkTotals.NONE

    private val prefillSeconds = DecayingSum(PREFILL_DECAY)
    private var reported: ReportedLoad? = null
    private var reportedAt: Moment = Moment.ORIGIN

    /** When the latest request was sent that the instance began to answer, null if it answered none. */
    public var latestAnsweredSendAt: Moment? = null
        private set

    /** When the instance last sent anything, null if it has not. */
    public var latestHeardAt: Moment? = null
        private set

    /** When the instance last sent anything to another node, null if that is not known. */
    public var heardElsewhereAt: Moment? = null
        private set

    /** When the instance last sent anything to this node or another one, null if it has not. */
    public val latestLifeAt: Moment?
        get() = listOfNotNull(latestHeardAt, heardElsewhereAt).maxOrNull()

    /** Decaying average of the time for a whole answer; null before the first. */
    public var answerTime: Duration? = null
        private set

    /** Records that a request was sent. */
    public fun begin(
        work: RequestWork,
        now: Moment,
    ) {
        prefillSeconds.add(work.prefillTime.toDouble(DurationUnit.SECONDS), now)
        ownRunning += 1
        ownPrefillTokens += work.prefillTokens
        ownUsedCacheTokens += work.usedCacheTokens
    }

    /** Records that the prompt of a request was processed: its first event came. */
    public fun onPrefillDone(work: RequestWork) {
        ownPrefillTokens -= work.prefillTokens
    }

    /** Records that a request ended at the instance. */
    public fun end(
        work: RequestWork,
        prefillDone: Boolean,
    ) {
        ownRunning -= 1
        ownUsedCacheTokens -= work.usedCacheTokens
        if (!prefillDone) ownPrefillTokens -= work.prefillTokens
    }

    /** Records that the instance began to answer a request that was sent at [sentAt]. */
    public fun onAnswerBegun(sentAt: Moment) {
        latestAnsweredSendAt = latestAnsweredSendAt?.let { maxOf(it, sentAt) } ?: sentAt
    }

    /** Records that the instance sent something. */
    public fun onHeard(now: Moment) {
        latestHeardAt = now
    }

    /** Records that the instance sent something to another node at [moment]. */
    public fun onHeardElsewhere(moment: Moment) {
        heardElsewhereAt = maxOf(heardElsewhereAt ?: moment, moment)
    }

    /** Records the load that the instance reported. */
    public fun onReportedLoad(
        load: ReportedLoad,
        now: Moment,
    ) {
        reported = load
        reportedAt = now
        load.slownessPercent?.let { pace.onStated(it, now) }
    }

    /** Adds the time of one whole answer to the average. */
    public fun onAnswerTime(time: Duration) {
        val before = answerTime
        answerTime = if (before == null) time else before * HISTORY_WEIGHT + time * (1.0 - HISTORY_WEIGHT)
    }

    /**
     * Returns how many requests of all nodes are at the instance, as far as known.
     *
     * This is the larger one of the counted number and a recently reported one.
     */
    public fun running(now: Moment): Int {
        val counted = ownRunning + others.running
        val fresh = reported?.takeIf { now - reportedAt < MAXIMUM_REPORT_AGE } ?: return counted
        return maxOf(counted, fresh.running + fresh.waiting)
    }

    /** Returns how many times as long one more request takes because it waits for one of [concurrency] slots. */
    public fun crowding(
        concurrency: Int,
        now: Moment,
    ): Double {
        val slots = concurrency.coerceAtLeast(1)
        return 1.0 + (running(now) + 1 - slots).coerceAtLeast(0).toDouble() / slots
    }

    /** Returns the prompt tokens of all nodes' requests that are yet to be processed. */
    public fun prefillTokens(): Int = ownPrefillTokens + others.prefillTokens

    /** Returns the KV cache tokens that all nodes' requests use. */
    public fun usedCacheTokens(): Int = ownUsedCacheTokens + others.usedCacheTokens

    /** Returns the recent fraction of the instance's time that prefill for this node's requests took. */
    public fun ownPrefillShare(now: Moment): Double = prefillSeconds.perSecond(now)

    /** Returns the recent fraction of the instance's time that prefill for all nodes' requests took. */
    public fun prefillShare(now: Moment): Double = ownPrefillShare(now) + others.prefillShare

    private companion object {
        /** Covers a few of the longest prompts; a stream that is slowed for this long still ends in time. */
        val PREFILL_DECAY = 3.seconds
        const val HISTORY_WEIGHT = 0.8

        /** An answer carries the load at its beginning, which soon says little about the present load. */
        val MAXIMUM_REPORT_AGE = 150.milliseconds
    }
}
