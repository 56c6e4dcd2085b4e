package plantainturn.request.relay

import plantainturn.process.time.DecayingSum
import plantainturn.process.time.Moment
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Learns how long work takes at one run of an instance: the usual time of an answer of a plain service, or for an
 * engine the time to the first event in proportion to the nominal time of its prompt tokens.
 *
 * Load patterns: instances of one service whose speeds differ by a factor of two, and whose VMs are slowed for
 * some hundred milliseconds by others. What an instance states of the moment is taken out of each sample and put into
 * each estimate. Failures give no sample, as an error may be answered faster than any work. Another run of the instance
 * needs another object. Confined to one thread.
 */
public class InstancePace {
    private var usual: Double? = null
    private var samples = 0
    private var sampledAt = Moment.ORIGIN
    private var stated: Double? = null
    private var statedAt = Moment.ORIGIN
    private val failures = DecayingSum(OUTCOME_DECAY)
    private val outcomes = DecayingSum(OUTCOME_DECAY)

    /** Records that the instance stated that work takes [percent] of its usual time. */
    public fun onStated(
        percent: Int,
        now: Moment,
    ) {
        if (percent <= 0) return
        stated = (percent / USUAL_PERCENT).coerceIn(LEAST_STATED, MOST_STATED)
        statedAt = now
    }

    /** Records that work took [value], without the wait for a slot: seconds, or a proportion of the nominal time. */
    public fun onSample(
        value: Double,
        now: Moment,
    ) {
        if (!value.isFinite() || value <= 0.0) return
        val sample = value / (statedAt(now) ?: 1.0)
        val before = usual
        samples += 1
        val weight = maxOf(SAMPLE_WEIGHT, 1.0 / samples)
        usual = if (before == null) sample else before + (sample - before) * weight
        sampledAt = now
    }

    /** Records that the instance answered a request. */
    public fun onSuccess(now: Moment) {
        outcomes.add(1.0, now)
    }

    /** Records that the instance refused a request or failed it. */
    public fun onFailure(now: Moment) {
        outcomes.add(1.0, now)
        failures.add(1.0, now)
    }

    /** Returns what is known at [now]. */
    public fun estimate(now: Moment): PaceEstimate {
        val failureShare = failures.value(now) / (outcomes.value(now) + PRIOR_OUTCOMES)
        val freshness = if (usual == null) 0.0 else fade(now - sampledAt - FRESH_FOR, FORGETTING)
        val current = statedAt(now)
        val reason =
            when {
                failureShare > FAILING_SHARE -> PaceReason.FAILING
                current != null -> PaceReason.STATED
                freshness > LEAST_FRESHNESS -> PaceReason.LEARNED
                else -> PaceReason.UNKNOWN
            }
        return PaceEstimate(current, usual, freshness, failureShare, reason, isInUse = stated != null)
    }

    /** Returns the stated factor, which fades to 1 and is null once it says nothing any more. */
    private fun statedAt(now: Moment): Double? {
        val factor = stated ?: return null
        val age = now - statedAt
        return if (age > STATED_FOR) null else 1.0 + (factor - 1.0) * fade(age, STATED_FADING)
    }

    private fun fade(
        age: Duration,
        timeConstant: Duration,
    ): Double = exp(-(age.coerceAtLeast(Duration.ZERO) / timeConstant))

    public companion object {
        /** Prompt tokens from which on the time to the first event tells of the engine's speed. */
        public const val MINIMUM_SAMPLE_TOKENS: Int = 800

        private const val USUAL_PERCENT = 100.0

        /** A VM that is shared with others is slowed a few times at most; more is a freeze or a wrong figure. */
        private const val MOST_STATED = 10.0
        private const val LEAST_STATED = 0.2

        /** Noise lasts for some 600 ms, so that a statement says nothing after twice that time. */
        private val STATED_FOR = 1_200.milliseconds
        private val STATED_FADING = 300.milliseconds

        /** Answers of one service differ by several times in size; this averages about twenty. */
        private const val SAMPLE_WEIGHT = 0.1

        /** A slow instance that gets no requests is tried again after a few seconds. */
        private val FRESH_FOR = 1.seconds
        private val FORGETTING = 3.seconds
        private const val LEAST_FRESHNESS = 0.1
        private val OUTCOME_DECAY = 2.seconds

        /** Keeps a single failure after a pause from counting as a failing instance. */
        private const val PRIOR_OUTCOMES = 2.0
        private const val FAILING_SHARE = 0.1
    }
}
