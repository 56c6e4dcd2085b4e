package plantainturn.request.quarantine

import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Test
import plantainturn.process.time.VirtualTimerService
import plantainturn.version.configuration.UpstreamName
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class CrashAttributionTest {
    private val timer = VirtualTimerService()
    private val settings = CrashAttributionSettings(capacity = 100, answeredCapacity = 100)
    private val attribution = CrashAttribution(timer, settings)
    private var requests = 0L

    @Test
    fun `a part that was never answered is blocked after breaks at three runs`() {
        repeat(2) { breakAt(it, request(BAD)) }
        assertFalse(attribution.isBlocked(request(BAD)))
        breakAt(2, request(BAD))
        assertEquals(listOf(BAD), attribution.blockedTraitsOf(request(BAD)))
    }

    @Test
    fun `an answered part is blocked only after breaks at different times`() {
        attribution.onPartAnswered(SHARED)
        repeat(8) { breakAt(it, request(SHARED)) }
        assertFalse(attribution.isBlocked(request(SHARED)), "an outage")
        repeat(3) { breakAt(10 + it, request(SHARED), seconds = 1 + it) }
        assertTrue(attribution.isBlocked(request(SHARED)))
    }

    @Test
    fun `breaks of one request alone are attributed to the request`() {
        val again = request(SHARED)
        repeat(3) { breakAt(it, again) }
        assertTrue(attribution.isBlocked(again))
        assertFalse(attribution.isBlocked(request(SHARED)))
    }

    @Test
    fun `runs at which a blocked part broke off count against no other`() {
        repeat(5) {
            breakAt(it, request(BAD))
            breakAt(it, request(OTHER))
        }
        assertTrue(attribution.isBlocked(request(BAD)))
        assertFalse(attribution.isBlocked(request(OTHER)))
    }

    @Test
    fun `the answered parts that a break names count as answered here`() {
        repeat(3) { breakAt(it, request(SHARED, BAD), answered = setOf(SHARED)) }
        assertEquals(listOf(BAD), attribution.blockedTraitsOf(request(SHARED, BAD)))
    }

    @Test
    fun `breaks are attributed anew when a block turns out wrong`() {
        repeat(3) { breakAt(it, request(SHARED)) }
        repeat(3) { breakAt(it, request(SHARED, BAD)) }
        assertEquals(listOf(SHARED), attribution.blockedTraitsOf(request(SHARED, BAD)))
        attribution.onPartAnswered(SHARED)
        assertEquals(listOf(BAD), attribution.blockedTraitsOf(request(SHARED, BAD)))
    }

    @Test
    fun `a part is tried by one request, first by one without other suspects, and then ever later`() {
        repeat(3) { breakAt(it, request(BAD)) }
        breakAt(3, request(OTHER))
        assertEquals(emptyList(), attribution.trialsDue(request(BAD)))
        timer.advance(3.seconds)
        assertEquals(emptyList(), attribution.trialsDue(request(BAD, OTHER)))
        assertEquals(listOf(BAD), attribution.trialsDue(request(BAD)))
        attribution.onTrialClaimed(BAD, attribution.nextTrialOf(BAD), own = true)
        assertTrue(attribution.tryBegin(request(BAD), run(4)))
        assertFalse(attribution.tryBegin(request(BAD), run(5)))
        timer.advance(59.seconds)
        assertEquals(emptyList(), attribution.trialsDue(request(BAD)))
        timer.advance(2.seconds)
        assertEquals(listOf(BAD), attribution.trialsDue(request(BAD)))
    }

    @Test
    fun `an answer unblocks a part and is worth telling the other nodes`() {
        repeat(3) { breakAt(it, request(BAD)) }
        assertEquals(listOf(BAD), attribution.onAnswer(request(BAD)))
        assertFalse(attribution.isBlocked(request(BAD)))
        assertEquals(emptyList(), attribution.onAnswer(request(BAD)))
    }

    @Test
    fun `a suspect part puts three runs at risk at a time, and an answered one any number`() {
        breakAt(0, request(BAD))
        assertTrue(attribution.tryBegin(request(BAD), run(1)))
        assertTrue(attribution.tryBegin(request(BAD), run(2)))
        assertFalse(attribution.tryBegin(request(BAD), run(3)))
        attribution.onPartAnswered(SHARED)
        breakAt(0, request(SHARED))
        repeat(9) { assertTrue(attribution.tryBegin(request(SHARED), run(it))) }
    }

    @Test
    fun `a break that is withdrawn no longer counts`() {
        val survived = request(BAD)
        breakAt(0, survived)
        attribution.onSurvived(survived, run(0))
        repeat(2) { breakAt(1 + it, request(BAD)) }
        assertFalse(attribution.isBlocked(request(BAD)))
    }

    @Test
    fun `a flood of other traits does not push out a blocked one`() {
        repeat(3) { breakAt(it, request(BAD)) }
        repeat(500) { breakAt(10 + it, request(RequestFingerprint(1_000L + it))) }
        assertTrue(attribution.isBlocked(request(BAD)))
    }

    @Test
    fun `evidence and blocks expire`() {
        repeat(2) { breakAt(it, request(OTHER)) }
        timer.advance(11.minutes)
        breakAt(2, request(OTHER))
        assertFalse(attribution.isBlocked(request(OTHER)))
        repeat(3) { breakAt(10 + it, request(BAD)) }
        timer.advance(1.hours)
        assertFalse(attribution.isBlocked(request(BAD)))
    }

    /** Guards against breaks of a sound request adding up at a node that hears of breaks and never of answers. */
    @Test
    fun `an answer to a request of which other nodes know a break is worth telling them`() {
        val traits = request()
        breakAt(0, traits)
        assertEquals(listOf(traits.request), attribution.onAnswer(traits))
        assertEquals(emptyList(), attribution.onAnswer(traits))
        attribution.onBreak(RequestBreak(traits, run(1), emptySet(), 0), shared = false)
        assertEquals(emptyList(), attribution.onAnswer(traits), "no other node knows of the break")
    }

    /** Guards against parts: two breaks that other nodes know count there, though each was answered here. */
    @Test
    fun `an answer to a part is worth telling after shared breaks with untold answers in between`() {
        breakAt(0, request(SHARED))
        assertEquals(emptyList(), attribution.onAnswer(request(SHARED)))
        breakAt(1, request(SHARED))
        assertEquals(listOf(SHARED), attribution.onAnswer(request(SHARED)))
        breakAt(2, request(SHARED))
        assertEquals(emptyList(), attribution.onAnswer(request(SHARED)))
    }

    /** Guards against a break counting anew when the node hears its own record after an answer. */
    @Test
    fun `a break that an answer contradicts does not count when it is heard again`() {
        val traits = request(SHARED)
        breakAt(0, traits)
        attribution.onAnswer(request(SHARED))
        assertFalse(attribution.onBreak(RequestBreak(traits, run(0), emptySet(), 0)), "it is known")
    }

    /** Guards against a sound request being refused for an hour. */
    @Test
    fun `a blocked request that was answered before is tried soon, and three times at most`() {
        val traits = request()
        attribution.onAnswer(traits)
        repeat(3) { breakAt(it, traits) }
        assertEquals(emptyList(), attribution.trialsDue(traits))
        var tried = 0
        repeat(3_500) {
            timer.advance(1.seconds)
            if (it == 1) assertEquals(listOf(traits.request), attribution.trialsDue(traits))
            if (attribution.trialsDue(traits).isEmpty()) return@repeat
            attribution.onTrialClaimed(traits.request, attribution.nextTrialOf(traits.request), own = true)
            assertTrue(attribution.tryBegin(traits, run(10 + tried)))
            attribution.ended(traits, run(10 + tried))
            breakAt(10 + tried++, traits)
            assertTrue(attribution.isBlocked(traits))
        }
        assertEquals(3, tried)
    }

    /** Guards against a sound request being refused for a minute after all its servers crashed at once. */
    @Test
    fun `a trial that no upstream could be reached for may still be made`() {
        val traits = request()
        attribution.onAnswer(traits)
        repeat(3) { breakAt(it, traits) }
        timer.advance(3.seconds)
        attribution.onTrialClaimed(traits.request, 1, own = true)
        repeat(2) {
            assertTrue(attribution.tryBegin(traits, run(10 + it)))
            assertFalse(attribution.tryBegin(traits, run(20)), "another one is being tried")
            attribution.notSent(traits, run(20))
            assertTrue(attribution.isBlocked(traits), "a send elsewhere says nothing of the trial")
            attribution.notSent(traits, run(10 + it))
        }
        timer.advance(11.seconds)
        assertFalse(attribution.tryBegin(traits, run(12)), "the claim has ended")
    }

    /** Guards against trials of a request that crashes upstreams. */
    @Test
    fun `a blocked request that was never answered is tried once, after a minute`() {
        val traits = request()
        repeat(3) { breakAt(it, traits) }
        timer.advance(59.seconds)
        assertEquals(emptyList(), attribution.trialsDue(traits))
        timer.advance(2.seconds)
        assertEquals(listOf(traits.request), attribution.trialsDue(traits))
        attribution.onTrialClaimed(traits.request, 1, own = false)
        timer.advance(50.minutes)
        assertEquals(emptyList(), attribution.trialsDue(traits))
    }

    /** Guards against a block that outlives its evidence. */
    @Test
    fun `a request is no longer blocked when one of three runs turns out to have lived on`() {
        val traits = request()
        repeat(3) { breakAt(it, traits) }
        assertTrue(attribution.isBlocked(traits))
        attribution.onSurvived(traits, run(1))
        assertFalse(attribution.isBlocked(traits))
        breakAt(4, traits)
        assertTrue(attribution.isBlocked(traits))
    }

    @Test
    fun `a blocked request that is answered is no longer blocked`() {
        val traits = request()
        repeat(3) { breakAt(it, traits) }
        assertEquals(listOf(traits.request), attribution.onAnswer(traits))
        assertFalse(attribution.isBlocked(traits))
        repeat(3) { breakAt(it + 5, traits) }
        attribution.onRequestAnswered(traits.request)
        assertFalse(attribution.isBlocked(traits))
    }

    private fun request(
        first: RequestFingerprint? = null,
        second: RequestFingerprint? = null,
    ) = RequestTraits(RequestFingerprint(--requests), listOfNotNull(first, second).toPersistentList())

    private fun run(number: Int) = CrashEvidence(UpstreamName("server-$number"), "1")

    private fun breakAt(
        run: Int,
        traits: RequestTraits,
        answered: Set<RequestFingerprint> = emptySet(),
        seconds: Int = 0,
    ) {
        attribution.onBreak(RequestBreak(traits, run(run), answered, seconds * 1_000L))
    }

    private companion object {
        val BAD = RequestFingerprint(1)
        val SHARED = RequestFingerprint(2)
        val OTHER = RequestFingerprint(3)
    }
}
