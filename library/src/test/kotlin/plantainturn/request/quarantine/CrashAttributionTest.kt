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
        attribution.onSurvived(survived.request, run(0))
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

    private fun request(
        first: RequestFingerprint,
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
