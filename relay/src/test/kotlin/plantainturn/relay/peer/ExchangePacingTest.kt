package plantainturn.relay.peer

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ExchangePacingTest {
    @Test
    fun `an issuer that answers in time is asked and missed as without pacing`() {
        val pacing = ExchangePacing()
        pacing.onEnded(20.milliseconds)

        for (nodes in listOf(1, 50, 300)) {
            assertEquals(ExchangeTiming.period(nodes), pacing.interval(nodes))
            assertEquals(ExchangeTiming.issuerTimeout(nodes), pacing.issuerTimeout(nodes))
        }
    }

    /** Guards against an issuer that answers nobody, as nodes stop waiting and send new reports. */
    @Test
    fun `nodes that share a slow issuer all get answers and none takes it for lost`() {
        val issuer = SlowIssuer(nodes = 22, costOf = { 40.milliseconds })
        issuer.run(20.seconds)

        assertTrue(issuer.longestSilence < ExchangePacing().issuerTimeout(22) * 2, "${issuer.longestSilence}")
        assertEquals(0, issuer.timesMissed)
    }

    /** Guards against intervals that stay long after the issuer has recovered. */
    @Test
    fun `the usual interval returns once the issuer answers in time`() {
        val pacing = ExchangePacing()
        pacing.onEnded(2.seconds)
        assertEquals(1.seconds, pacing.interval(22))

        repeat(12) { pacing.onEnded(20.milliseconds) }

        assertEquals(ExchangeTiming.period(22), pacing.interval(22))
    }

    /** An issuer that works on one report after the other, and nodes that wait for its answers, in steps of 10 ms. */
    private class SlowIssuer(
        private val nodes: Int,
        private val costOf: () -> Duration,
    ) {
        private val queue = ArrayDeque<Node>()
        private val all = List(nodes) { Node(9.milliseconds * it) }
        private var now = Duration.ZERO
        private var busyUntil = Duration.ZERO
        var longestSilence = Duration.ZERO
        var timesMissed = 0

        fun run(duration: Duration) {
            while (now < duration) {
                now += STEP
                all.filter { !it.waits && now >= it.nextAt }.forEach { it.send() }
                while (busyUntil <= now && queue.isNotEmpty()) {
                    busyUntil = maxOf(busyUntil, now - STEP) + costOf()
                    queue.removeFirst().onAnswer(busyUntil)
                }
            }
        }

        private inner class Node(
            var nextAt: Duration,
        ) {
            private val pacing = ExchangePacing()
            private var sentAt = Duration.ZERO
            private var answeredAt: Duration? = null
            var waits = false

            fun send() {
                waits = true
                sentAt = now
                queue += this
            }

            fun onAnswer(at: Duration) {
                waits = false
                val silence = at - (answeredAt ?: at)
                longestSilence = maxOf(longestSilence, silence)
                if (silence > pacing.issuerTimeout(nodes)) timesMissed++
                answeredAt = at
                pacing.onEnded(at - sentAt)
                nextAt = maxOf(at, sentAt + pacing.interval(nodes))
            }
        }
    }

    private companion object {
        val STEP = 10.milliseconds
    }
}
