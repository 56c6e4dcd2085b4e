package plantainturn.request.relay

import org.junit.jupiter.api.Test
import plantainturn.version.configuration.UpstreamName
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ServiceDispatchTest {
    private val dispatch = ServiceDispatch(Random(1))

    /** Load pattern: overloaded instances ask for a backoff, one after the other. */
    @Test
    fun `an instance that is backing off gets nothing while another one serves, however busy that is`() {
        val sent = decide(candidate("resting", backoffRemaining = 2.seconds), candidate("busy", running = 10))

        assertEquals(UpstreamName("busy"), assertIs<DispatchDecision.Send>(sent).instance)
    }

    @Test
    fun `an instance that is backing off is not used even if all others are suspected`() {
        val sent = decide(candidate("resting", backoffRemaining = 2.seconds), candidate("suspect", suspected = true))

        assertEquals(UpstreamName("suspect"), assertIs<DispatchDecision.Send>(sent).instance)
    }

    @Test
    fun `when all instances are backing off the decision is returned with the earliest end`() {
        val decision =
            decide(candidate("a", backoffRemaining = 2.seconds), candidate("b", backoffRemaining = 700.milliseconds))

        assertEquals(DispatchDecision.AllBackingOff(700.milliseconds), decision)
    }

    /** Load pattern: an overloaded instance names a limit while the others have room, and then while they are full. */
    @Test
    fun `an instance is used up to its limit, and then when the others are full`() {
        val limited = candidate("limited").copy(permitWait = 300.milliseconds)

        val spread = decide(limited, candidate("other", running = 17))
        assertEquals(UpstreamName("other"), assertIs<DispatchDecision.Send>(spread).instance)
        val overflow = decide(limited, candidate("full", running = 18))
        assertEquals(UpstreamName("limited"), assertIs<DispatchDecision.Send>(overflow).instance)
    }

    /** Guards against a draw that sends to a full instance, or rejects while another one has room. */
    @Test
    fun `an instance with a full queue gets nothing, however fast it is`() {
        val fast = candidate("fast", running = 18).copy(pace = paceOf(0.01))
        val slow = candidate("slow", running = 10).copy(pace = paceOf(0.2))

        repeat(DRAWS) {
            assertEquals(UpstreamName("slow"), assertIs<DispatchDecision.Send>(decide(fast, slow)).instance)
        }
        assertIs<DispatchDecision.Rejected>(decide(fast, fast))
    }

    /** Guards against all nodes moving to one instance at once because they see the same figures. */
    @Test
    fun `decisions on the same figures spread over instances in proportion to their speed`() {
        val fast = candidate("fast", running = 6).copy(pace = paceOf(0.01))
        val usual = candidate("usual", running = 6).copy(pace = paceOf(0.02))

        val toUsual =
            List(DRAWS) { assertIs<DispatchDecision.Send>(decide(fast, usual)).instance }
                .count { it == UpstreamName("usual") }
        assertTrue(toUsual in DRAWS / 20..DRAWS / 4, "$toUsual of $DRAWS")
    }

    @Test
    fun `without instances the decision is NoCandidate`() {
        assertEquals(DispatchDecision.NoCandidate, decide())
    }

    private fun decide(vararg candidates: DispatchCandidate) = dispatch.decide(QUERY, candidates.toList())

    private fun paceOf(seconds: Double) = PaceEstimate(1.0, seconds, 1.0, 0.0, PaceReason.STATED)

    private companion object {
        const val DRAWS = 200
        val QUERY =
            DispatchQuery(
                demand = null,
                urgency = 1,
                objectiveLeft = 200.milliseconds,
                timeLeft = 1.seconds,
                maximumRetryAfter = 300.milliseconds,
                cacheCapacityTokens = 0,
                affinity = 0,
            )

        fun candidate(
            name: String,
            running: Int = 0,
            suspected: Boolean = false,
            backoffRemaining: Duration? = null,
        ) = DispatchCandidate(
            name = UpstreamName(name),
            concurrency = 6,
            running = running,
            prefillTokens = 0,
            prefillShare = 0.0,
            usedCacheTokens = 0,
            cachedTokens = 0,
            sameDomain = true,
            connected = true,
            suspected = suspected,
            answerSeconds = null,
            backoffRemaining = backoffRemaining,
        )
    }
}
