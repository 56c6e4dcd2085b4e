package plantainturn.relay.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides from the issuer's answer times how long a node waits between two exchanges of reports, and how long the
 * issuer may be silent.
 *
 * Load pattern: an issuer with little processor time gets more reports than it can answer, above all when traffic
 * begins. If nodes stopped waiting early and sent new reports, it would only work on reports whose senders no longer
 * wait, and would seem to be lost. Confined to one thread.
 */
internal class ExchangePacing {
    private var answerTime = Duration.ZERO

    /** Records that the issuer took [took] to answer, or had not answered by then. */
    fun onEnded(took: Duration) {
        answerTime = if (took > answerTime) took else (answerTime * KEPT_PARTS + took) / (KEPT_PARTS + 1)
    }

    /** Returns the time between two exchanges with an issuer that reports [nodes] nodes. */
    fun interval(nodes: Int): Duration {
        val period = ExchangeTiming.period(nodes)
        return maxOf(period, minOf(answerTime * INTERVAL_FACTOR, LONGEST_INTERVAL))
    }

    /** Returns how long the issuer may be silent before another node should take over. */
    fun issuerTimeout(nodes: Int): Duration {
        val timeout = ExchangeTiming.issuerTimeout(nodes)
        return maxOf(timeout, minOf(answerTime * TIMEOUT_FACTOR, LONGEST_TIMEOUT))
    }

    internal companion object {
        /** How long an answer is waited for; one that comes late is used. */
        val ANSWER_TIMEOUT: Duration = 3.seconds

        /** An issuer answers half of the nodes at most at any time, so that its other work has its turn. */
        private const val INTERVAL_FACTOR = 2

        /** The issuer counts a node as absent after 1.5 s without a report. */
        private val LONGEST_INTERVAL = 1_000.milliseconds

        /** One interval and two answers. */
        private const val TIMEOUT_FACTOR = 4
        private val LONGEST_TIMEOUT = 3.seconds
        private const val KEPT_PARTS = 3
    }
}
