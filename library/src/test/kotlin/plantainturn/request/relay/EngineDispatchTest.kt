package plantainturn.request.relay

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EngineDispatchTest {
    private val dispatch = EngineDispatch(EngineTimeEstimator())

    @Test
    fun `the engine with the fewest tokens to process is chosen`() {
        val sent = decide(candidate("busy", prefillTokens = 40_000), candidate("free"))

        assertEquals(UpstreamName("free"), assertIs<DispatchDecision.Send>(sent).instance)
    }

    @Test
    fun `a suspected engine is chosen only when there is no other`() {
        val other = decide(candidate("suspect", suspected = true), candidate("sound", prefillTokens = 8_000))
        val only = decide(candidate("suspect", suspected = true))

        assertEquals(UpstreamName("sound"), assertIs<DispatchDecision.Send>(other).instance)
        assertEquals(UpstreamName("suspect"), assertIs<DispatchDecision.Send>(only).instance)
    }

    @Test
    fun `an engine that is backing off gets nothing, and if all are the earliest end is returned`() {
        val other = decide(candidate("resting", backoffRemaining = 3.seconds), candidate("busy", prefillTokens = 8_000))
        val none = decide(candidate("a", backoffRemaining = 3.seconds), candidate("b", backoffRemaining = 2.seconds))

        assertEquals(UpstreamName("busy"), assertIs<DispatchDecision.Send>(other).instance)
        assertEquals(DispatchDecision.AllBackingOff(2.seconds), none)
    }

    /** Load pattern: an overloaded engine names a limit while the others have room, and then while they are full. */
    @Test
    fun `an engine is used up to its limit, and then if it is faster with the wait for its turn`() {
        val limited = candidate("limited").copy(permitWait = 300.milliseconds)

        val spread = decide(limited, candidate("other", prefillTokens = 1_000))
        assertEquals(UpstreamName("other"), assertIs<DispatchDecision.Send>(spread).instance)
        val overflow = decide(limited, candidate("busy", prefillTokens = 20_000))
        assertEquals(UpstreamName("limited"), assertIs<DispatchDecision.Send>(overflow).instance)
    }

    @Test
    fun `work in time keeps its rank and late work is ranked behind all of it`() {
        val inTime = decide(candidate("engine", running = 30, prefillTokens = 4_000))
        val late = decide(candidate("engine", running = 30, prefillTokens = 40_000))

        assertEquals(1, assertIs<DispatchDecision.Send>(inTime).rank)
        assertTrue(assertIs<DispatchDecision.Send>(late).rank > 4)
    }

    @Test
    fun `a burst fills an engine up to what can still be answered and the rest is rejected at once`() {
        var prefillTokens = 0
        var running = 0
        val decisions =
            List(200) {
                val decision = decide(candidate("engine", running = running, prefillTokens = prefillTokens))
                if (decision is DispatchDecision.Send) {
                    running += 1
                    prefillTokens += PROMPT
                }
                decision
            }

        val rejected = decisions.filterIsInstance<DispatchDecision.Rejected>()
        assertTrue(rejected.isNotEmpty())
        assertTrue(rejected.all { it.retryAfter in 100.milliseconds..MAXIMUM_RETRY_AFTER })
        assertTrue(decisions.take(3).all { it is DispatchDecision.Send })
        assertTrue(decisions.takeLast(100).all { it is DispatchDecision.Rejected }, "the backlog is bounded")
    }

    @Test
    fun `while an engine has free slots nothing that can begin in time is rejected`() {
        val decision = decide(candidate("engine", running = 3, prefillTokens = 60_000))

        assertIs<DispatchDecision.Send>(decision)
    }

    @Test
    fun `requests that share a prompt prefer one copy at every node unless it is busier`() {
        val copies = listOf("a", "b", "c")
        val chosen =
            List(5) { EngineDispatch(EngineTimeEstimator()).decide(query(affinity = 42), copies.map { candidate(it) }) }
                .map { assertIs<DispatchDecision.Send>(it).instance }
                .toSet()
        val preferred = chosen.single()
        val elsewhere =
            dispatch.decide(
                query(affinity = 42),
                copies.map { candidate(it, prefillTokens = if (UpstreamName(it) == preferred) 20_000 else 0) },
            )

        assertTrue(assertIs<DispatchDecision.Send>(elsewhere).instance != preferred)
    }

    @Test
    fun `an engine that only does prefill gets no more long prompts, and another one takes them`() {
        val rejected = decide(candidate("reading", prefillShare = 1.2))
        val elsewhere = decide(candidate("reading", prefillShare = 1.2), candidate("busy", prefillTokens = 9_000))

        assertIs<DispatchDecision.Rejected>(rejected)
        assertEquals(UpstreamName("busy"), assertIs<DispatchDecision.Send>(elsewhere).instance)
    }

    @Test
    fun `short prompts are still sent to an engine that only does prefill`() {
        val short = query(prompt = 600)
        val decision = dispatch.decide(short, listOf(candidate("reading", prefillShare = 1.2)))

        assertIs<DispatchDecision.Send>(decision)
    }

    @Test
    fun `without engines the decision is NoCandidate`() {
        assertEquals(DispatchDecision.NoCandidate, decide())
    }

    private fun decide(vararg candidates: DispatchCandidate) = dispatch.decide(query(), candidates.toList())

    private companion object {
        const val PROMPT = 3_000
        val MAXIMUM_RETRY_AFTER = 1_500.milliseconds

        fun query(
            affinity: Long = 0,
            prompt: Int = PROMPT,
        ) = DispatchQuery(
            demand = GenerationDemand(ModelName("model"), null, prompt, 50, persistentListOf()),
            urgency = 1,
            objectiveLeft = 600.milliseconds,
            timeLeft = 2_400.milliseconds,
            maximumRetryAfter = MAXIMUM_RETRY_AFTER,
            cacheCapacityTokens = 1_000_000,
            affinity = affinity,
        )

        fun candidate(
            name: String,
            running: Int = 0,
            prefillTokens: Int = 0,
            suspected: Boolean = false,
            prefillShare: Double = 0.0,
            backoffRemaining: Duration? = null,
        ) = DispatchCandidate(
            name = UpstreamName(name),
            concurrency = 64,
            running = running,
            prefillTokens = prefillTokens,
            prefillShare = prefillShare,
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
