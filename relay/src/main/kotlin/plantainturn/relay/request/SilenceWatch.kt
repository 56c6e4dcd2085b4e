package plantainturn.relay.request

import plantainturn.process.time.TimerSubscription
import plantainturn.request.quarantine.RequestTraits

/** Watches the sends of one request for instances that send nothing. */
internal class SilenceWatch(
    private val context: RelayContext,
    private val exchange: RelayExchange,
    private val traits: RequestTraits,
) {
    private var watchdog: TimerSubscription? = null
    private var crashWatch: TimerSubscription? = null

    /** Begins to watch [attempt], which has begun just now. */
    fun start(attempt: RelayAttempt) {
        watch(attempt)
        crashWatch?.cancel()
        crashWatch = context.timer.schedule(RequestLimits.CRASH_SUSPICION_SILENCE) { reportIfUnanswered(attempt) }
    }

    /** Looks at [attempt] again soon. */
    fun checkAgain(attempt: RelayAttempt) {
        watchdog = context.timer.schedule(RequestLimits.SILENCE_CHECK_INTERVAL) { watch(attempt) }
    }

    /** Ends the watch. A timer that is not cancelled keeps the whole request in memory, which is no longer counted. */
    fun cancel() {
        watchdog?.cancel()
        crashWatch?.cancel()
    }

    /** Watches for an instance that stops sending; only requests that can be repeated elsewhere are watched. */
    private fun watch(attempt: RelayAttempt) {
        watchdog?.cancel()
        if (!exchange.route.repetition.repeatable) return
        val limit = SilenceLimits.of(exchange.route, attempt.isAnswering)
        watchdog =
            context.timer.schedule(attempt.heardAt + limit - context.timer.now()) {
                if (!exchange.isCurrent(attempt)) return@schedule
                val silence = context.timer.now() - attempt.heardAt
                if (silence < limit) watch(attempt) else exchange.onSilence(attempt, silence)
            }
    }

    /** Counts a break early, while the request still waits, if the instance has answered nobody since it was sent. */
    private fun reportIfUnanswered(attempt: RelayAttempt) {
        val sentAt = attempt.sentAt ?: return
        if (!exchange.isCurrent(attempt) || attempt.isAnswering) return
        if (context.links.answeredSince(attempt.instance, sentAt)) return
        context.eventLog.record(exchange.request.identifier, "unheard", "$attempt fingerprint=${traits.request}")
        context.crashes.silent(traits, attempt.instance)
    }
}
