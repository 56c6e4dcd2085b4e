package plantainturn.request.relay

import plantainturn.process.time.FadingSum
import plantainturn.process.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What the outcomes of requests say about one instance; its own probe is not asked, as it may lie.
 *
 * Load pattern: an instance that fails part of its requests, or all, while it claims to be healthy. Failures add up and
 * fade; at a sum of 1 the instance is suspected and gets no requests for a while that doubles each time. Then a single
 * request tries it. What it answered itself also counts at the other nodes, which then lose no requests to find out;
 * what may be the fault of a link does not.
 */
public class InstanceHealth {
    private val score = FadingSum(MEMORY)
    private var suspectedUntil: Moment? = null
    private var pause = INITIAL_PAUSE
    private var trialRunning = false
    private var answeredErrors = false
    private var suspectedElsewhereUntil: Moment? = null

    /** Returns whether requests should go elsewhere at [now]. */
    public fun isSuspected(now: Moment): Boolean {
        if (suspectedElsewhereUntil?.let { now < it } == true) return true
        val until = suspectedUntil ?: return false
        return now < until || trialRunning
    }

    /** Returns how much longer the instance is suspected for errors that it answered; null if it is not. */
    public fun suspicionToShare(now: Moment): Duration? =
        suspectedUntil?.takeIf { answeredErrors && now < it }?.let { it - now }

    /** Takes over how much longer other nodes suspect the instance; null if none does. */
    public fun onPeerSuspicion(
        remaining: Duration?,
        now: Moment,
    ) {
        suspectedElsewhereUntil = remaining?.let { now + minOf(it, LONGEST_PAUSE) }
    }

    /** Notes that a request is given to the instance. */
    public fun onSend(now: Moment) {
        val until = suspectedUntil
        if (until != null && now >= until) trialRunning = true
    }

    /** Notes that a request was answered. */
    public fun onSuccess(now: Moment) {
        score.scale(SUCCESS_FACTOR, now)
        val wasTrial = trialRunning
        trialRunning = false
        if (suspectedUntil != null && (wasTrial || score.value(now) < CLEARED)) {
            suspectedUntil = null
            pause = INITIAL_PAUSE
        }
    }

    /** Notes that a request ended in a way that says nothing about the instance. */
    public fun onNeutral() {
        trialRunning = false
    }

    /** Notes that a request failed and returns whether that made the instance a suspect. */
    public fun onFailure(
        kind: FailureKind,
        now: Moment,
    ): Boolean {
        score.add(kind.weight, now)
        val wasTrial = trialRunning
        trialRunning = false
        if (score.value(now) < SUSPECT && !wasTrial) return false
        val already = suspectedUntil?.let { now < it } ?: false
        if (already) return false
        suspectedUntil = now + pause
        answeredErrors = kind == FailureKind.ERROR
        pause = minOf(pause * 2, LONGEST_PAUSE)
        score.scale(minOf(1.0, SUSPECT / score.value(now)), now)
        return true
    }

    private companion object {
        const val SUSPECT = 1.0
        const val CLEARED = 0.3
        const val SUCCESS_FACTOR = 0.6
        val MEMORY: Duration = 4.seconds
        val INITIAL_PAUSE: Duration = 400.milliseconds
        val LONGEST_PAUSE: Duration = 3.seconds
    }
}
