package plantainturn.relay.request

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.time.Moment
import plantainturn.process.time.VirtualTimerService
import plantainturn.relay.InstanceSamples
import plantainturn.request.quarantine.CrashAttribution
import plantainturn.request.quarantine.RequestBreak
import plantainturn.request.quarantine.RequestFingerprint
import plantainturn.request.quarantine.RequestTraits
import plantainturn.request.relay.ReachState
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class CrashTrackerTest {
    private val timer = VirtualTimerService()
    private val published = mutableListOf<String>()
    private val withdrawn = mutableListOf<String>()
    private var answeredSendAt: Moment? = null
    private var heardAt: Moment? = null
    private var livedAt: Moment? = null
    private var reach = ReachState.REACHED
    private var cutOffAt: Moment? = null
    private val attribution = CrashAttribution(timer)
    private val tracker = CrashTracker(attribution, Publisher(), timer, Signs()) { 0 }
    private val fingerprint = RequestFingerprint(1)
    private val traits = RequestTraits(fingerprint)
    private val part = RequestFingerprint(9)

    @Test
    fun `a break is published unless the instance answers a request that was sent afterwards`() {
        tracker.broke(traits, instance(1))
        assertTrue(tracker.brokeAt(fingerprint, instance(1)))
        timer.advance(2.seconds)
        assertEquals(listOf("server-1"), published)
        assertTrue(tracker.brokeAt(fingerprint, instance(1)))
    }

    @Test
    fun `an answer to a request that was sent afterwards withdraws a break`() {
        tracker.broke(traits, instance(1))
        timer.advance(0.1.seconds)
        answeredSendAt = timer.now()
        timer.advance(2.seconds)
        assertEquals(emptyList(), published)
        assertFalse(tracker.brokeAt(fingerprint, instance(1)))
    }

    @Test
    fun `an answer to a request that was sent before does not withdraw a break`() {
        answeredSendAt = timer.now()
        tracker.broke(traits, instance(1))
        timer.advance(2.seconds)
        assertEquals(listOf("server-1"), published)
    }

    @Test
    fun `a further break is published at once and only once for each instance run`() {
        tracker.broke(traits, instance(1))
        tracker.broke(traits, instance(2))
        tracker.broke(traits, instance(2))
        assertEquals(listOf("server-2"), published)
    }

    @Test
    fun `a break of a request with a part that was never answered is published at once, and withdrawn later`() {
        tracker.broke(traitsWithPart(1), instance(1))
        assertEquals(listOf("server-1"), published)
        timer.advance(0.1.seconds)
        answeredSendAt = timer.now()
        timer.advance(2.seconds)
        assertEquals(listOf("server-1"), withdrawn)
    }

    @Test
    fun `a missing answer counts against a part only if the instance is silent to all requests`() {
        heardAt = timer.now() + 10.seconds
        (1..3).forEach { tracker.silent(traitsWithPart(it), instance(it)) }
        assertFalse(tracker.isBlocked(traitsWithPart(4)), "the instances were heard from")
        heardAt = null
        (1..3).forEach { tracker.silent(traitsWithPart(it), instance(it)) }
        assertTrue(tracker.isBlocked(traitsWithPart(4)))
    }

    /** Guards against evidence of crashes where engines are slow: 4,687 records in 32 s on cucu-valtellina-grown. */
    @Test
    fun `a missing answer is no evidence if any node hears from the instance afterwards`() {
        attribution.onAnswer(traitsWithPart(0))
        tracker.silent(traitsWithPart(1), instance(1))
        timer.advance(1.5.seconds)
        livedAt = timer.now() - 1.seconds
        timer.advance(3.seconds)

        assertEquals(emptyList(), published)
        assertEquals(emptyList(), attribution.breaksOf(traitsWithPart(1).request))
    }

    /** Guards against nodes that hear late what an instance sent before it crashed, and take that for life. */
    @Test
    fun `what an instance sent about when a connection to it ended does not withdraw a break`() {
        attribution.onAnswer(traitsWithPart(0))
        tracker.broke(traitsWithPart(1), instance(1))
        livedAt = timer.now() + 0.5.seconds
        tracker.silent(traitsWithPart(2), instance(2))
        livedAt = timer.now() + 0.3.seconds
        timer.advance(3.seconds)

        assertEquals(listOf("server-1", "server-2"), published.sorted())
    }

    /** Guards against waiting requests at an overloaded engine that count against the parts of their prompts. */
    @Test
    fun `a missing answer does not count against parts if other nodes have heard from the instance`() {
        livedAt = timer.now() + 10.seconds
        (1..3).forEach { tracker.silent(traitsWithPart(it), instance(it)) }

        assertFalse(tracker.isBlocked(traitsWithPart(4)))
    }

    /** Guards against false witness: alike requests were blocked by breaks at a node that reached no instance. */
    @Test
    fun `a node that is cut off publishes no breaks and blocks nothing`() {
        reach = ReachState.DOUBTFUL
        (1..4).forEach { tracker.broke(traits, instance(it)) }
        timer.advance(0.5.seconds)
        assertEquals(emptyList(), published, "it may be cut off")
        reach = ReachState.CUT_OFF
        timer.advance(0.2.seconds)
        cutOffAt = timer.now()
        tracker.broke(traits, instance(5))
        reach = ReachState.REACHED
        timer.advance(5.seconds)

        assertEquals(emptyList(), published)
        assertFalse(tracker.isBlocked(traits))
    }

    /** Guards against the opposite: a request that ends all instances of a service, which no node hears then. */
    @Test
    fun `breaks count if no other node hears the instances either`() {
        reach = ReachState.PRESUMED_CUT_OFF
        (1..3).forEach { tracker.broke(traits, instance(it)) }
        timer.advance(2.seconds)
        reach = ReachState.UNHEARD_BY_ALL
        timer.advance(2.seconds)

        assertEquals(listOf("server-1", "server-2", "server-3"), published.sorted())
        assertTrue(tracker.isBlocked(traits))
    }

    @Test
    fun `an answer that ends with its connection clears a part only if the instance answers again`() {
        repeat(2) { tracker.broke(traitsWithPart(it), instance(it)) }
        tracker.answeredUntilClosed(traitsWithPart(2), instance(2))
        timer.advance(2.seconds)
        assertFalse(attribution.isAnswered(part))
        answeredSendAt = timer.now() + 0.5.seconds
        tracker.answeredUntilClosed(traitsWithPart(3), instance(3))
        timer.advance(2.seconds)
        assertTrue(attribution.isAnswered(part))
    }

    @Test
    fun `an error that an instance answers says nothing about the parts of the prompt`() {
        tracker.answered(traitsWithPart(1), instance(1), successful = false)
        assertFalse(attribution.isAnswered(part))
    }

    private fun traitsWithPart(request: Int) = RequestTraits(RequestFingerprint(100L + request), persistentListOf(part))

    private inner class Publisher : CrashEvidencePublisher {
        override fun publish(noticed: RequestBreak) {
            published += noticed.evidence.upstream.value
        }

        override fun withdraw(noticed: RequestBreak) {
            withdrawn += noticed.evidence.upstream.value
        }

        override fun publishAnswered(
            answered: List<RequestFingerprint>,
            traits: RequestTraits,
        ) = Unit

        override fun claimTrial(
            blocked: List<RequestFingerprint>,
            done: () -> Unit,
        ): Boolean = false
    }

    private inner class Signs : SignsOfLife {
        override fun answeredSince(
            instance: UpstreamInstance,
            moment: Moment,
        ): Boolean = answeredSendAt?.let { it > moment } ?: false

        override fun wasCutOffSince(
            instance: UpstreamInstance,
            moment: Moment,
        ): Boolean = cutOffAt?.let { it > moment } ?: false

        override fun reachOf(instance: UpstreamInstance): ReachState = reach

        override fun livedSince(
            instance: UpstreamInstance,
            moment: Moment,
        ): Boolean = livedAt?.let { it > moment } ?: false

        override fun heardSince(
            instance: UpstreamInstance,
            moment: Moment,
        ): Boolean = heardAt?.let { it > moment } ?: false
    }

    private fun instance(number: Int) = InstanceSamples.instance("server-$number")
}
