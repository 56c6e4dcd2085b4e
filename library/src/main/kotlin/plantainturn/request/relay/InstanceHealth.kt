package plantainturn.request.relay

import plantainturn.process.time.DecayingSum
import plantainturn.process.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Scores one instance by the outcomes of its requests; its own health probe is ignored, as it may be wrong.
 *
 * Load pattern: an instance fails part of its requests, or all, while it claims to be healthy. Each failure adds to a
 * score that decays; at 1 the instance is suspected and gets no requests for a period that doubles each time. Then a
 * single trial request is sent. Errors that the instance itself answered also make the other nodes suspect it, so that
 * they lose no requests to detect it; failures that a network link may have caused do not.
 */
public class InstanceHealth {
    private val score = DecayingSum(SCORE_DECAY)
    private var suspectedUntil: Moment? = null
    private var suspicionPeriod = INITIAL_SUSPICION
    private var trialInFlight = false
    private var answeredErrors = false
    private var peersSuspectUntil: Moment? = null

    /** Returns whether requests should go elsewhere at [now]. */
    public fun isSuspected(now: Moment): Boolean {
        if (peersSuspectUntil?.let { now < it } == true) return true
        val until = suspectedUntil ?: return false
        return now < until || trialInFlight
    }

    /**
     * Returns how much longer the instance is suspected for errors that it answered; null if it is not.
     *
     * This value is sent to the other nodes.
     */
    public fun suspicionToShare(now: Moment): Duration? =
        suspectedUntil?.takeIf { answeredErrors && now < it }?.let { it - now }

    /** Records how much longer other nodes suspect the instance; null if none does. */
    public fun onPeerSuspicion(
        remaining: Duration?,
        now: Moment,
    ) {
        peersSuspectUntil = remaining?.let { now + minOf(it, MAXIMUM_SUSPICION) }
    }

    /** Records that a request is sent to the instance. */
    public fun onSend(now: Moment) {
        val until = suspectedUntil
        if (until != null && now >= until) trialInFlight = true
    }

    /** Records that a request was answered. */
    public fun onSuccess(now: Moment) {
        score.scale(SUCCESS_FACTOR, now)
        val wasTrial = trialInFlight
        trialInFlight = false
        if (suspectedUntil != null && (wasTrial || score.value(now) < CLEARED_SCORE)) {
            suspectedUntil = null
            suspicionPeriod = INITIAL_SUSPICION
        }
    }

    /** Forgets all failures, as they say nothing about the instance. */
    public fun reset(now: Moment) {
        score.scale(0.0, now)
        suspectedUntil = null
        suspicionPeriod = INITIAL_SUSPICION
        trialInFlight = false
        answeredErrors = false
    }

    /** Records that a request ended in a way that says nothing about the instance. */
    public fun onNeutral() {
        trialInFlight = false
    }

    /** Records a failed request and returns whether the instance became suspected by it. */
    public fun onFailure(
        kind: FailureKind,
        now: Moment,
    ): Boolean {
        score.add(kind.weight, now)
        val wasTrial = trialInFlight
        trialInFlight = false
        if (score.value(now) < SUSPECT_SCORE && !wasTrial) return false
        val alreadySuspected = suspectedUntil?.let { now < it } ?: false
        if (alreadySuspected) return false
        suspectedUntil = now + suspicionPeriod
        answeredErrors = kind == FailureKind.ERROR
        suspicionPeriod = minOf(suspicionPeriod * 2, MAXIMUM_SUSPICION)
        score.scale(minOf(1.0, SUSPECT_SCORE / score.value(now)), now)
        return true
    }

    private companion object {
        const val SUSPECT_SCORE = 1.0
        const val CLEARED_SCORE = 0.3
        const val SUCCESS_FACTOR = 0.6
        val SCORE_DECAY: Duration = 4.seconds
        val INITIAL_SUSPICION: Duration = 400.milliseconds
        val MAXIMUM_SUSPICION: Duration = 3.seconds
    }
}
