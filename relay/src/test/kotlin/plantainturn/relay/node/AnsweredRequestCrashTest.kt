package plantainturn.relay.node

import org.junit.jupiter.api.Test
import plantainturn.process.time.VirtualTimerService
import plantainturn.relay.InstanceSamples
import plantainturn.request.quarantine.RequestFingerprint
import plantainturn.request.quarantine.RequestTraits
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Servers crash while they run a request that is answered otherwise, such as one whose path all callers ask for. */
class AnsweredRequestCrashTest {
    private inner class Node {
        val evidence = CrashEvidenceSample(store, timer) { 0 }
        val crashes = evidence.tracker(NoSignsOfLife)

        init {
            evidence.follower.start()
            timer.advance(1.seconds)
        }

        fun answer(): Unit = crashes.answered(traits, instance(0), successful = true)
    }

    private val timer = VirtualTimerService()
    private val store = InMemoryRecordStore(timer)
    private val traits = RequestTraits(RequestFingerprint(7))

    /** Guards against single breaks adding up in the store though answers came in between. */
    @Test
    fun `a node that starts does not block a request that was answered after each break`() {
        val nodes = List(2) { Node() }
        for (crash in 1..3) crashAndAnswer(crash, nodes)
        assertFalse(Node().crashes.isBlocked(traits))
    }

    /** Guards against the same where the nodes that saw the answers have gone. */
    @Test
    fun `restarts of all nodes between single breaks do not block a request that is answered`() {
        for (crash in 1..4) {
            val nodes = List(2) { Node() }
            assertFalse(nodes[0].crashes.isBlocked(traits), "before crash $crash")
            nodes[0].answer()
            crashAndAnswer(crash, nodes)
        }
        assertFalse(Node().crashes.isBlocked(traits))
    }

    /** Guards against a break being written after an answer that contradicts it. */
    @Test
    fun `a break that an answer contradicts within a second is not written`() {
        val node = Node()
        node.crashes.broke(traits, instance(1))
        timer.advance(0.5.seconds)
        node.answer()
        timer.advance(3.seconds)
        assertEquals(0, store.records.size)
    }

    /** Guards against one failure of all connections, or a kill of all nodes, blocking a request for an hour. */
    @Test
    fun `a request that was answered before is tried again by one node and served at all nodes`() {
        val nodes = List(2) { Node() }
        nodes.forEach { it.answer() }
        (1..3).forEach { nodes[0].crashes.broke(traits, instance(it)) }
        timer.advance(1.5.seconds)
        assertTrue(nodes.all { it.crashes.isBlocked(traits) })
        val all = nodes + Node()
        timer.advance(1.5.seconds)
        var allowed = 0
        all.forEach { node -> node.crashes.claimTrial(traits) { if (!node.crashes.isBlocked(traits)) allowed++ } }
        timer.advance(1.seconds)
        assertEquals(1, allowed)
        all.first { !it.crashes.isBlocked(traits) }.run {
            assertTrue(crashes.tryBegin(traits, instance(4)))
            crashes.answered(traits, instance(4), successful = true)
        }
        timer.advance(2.seconds)
        assertTrue(all.none { it.crashes.isBlocked(traits) })
        assertFalse(Node().crashes.isBlocked(traits))
    }

    /** Lets the request break off at the first of [nodes], and be answered at the second one later. */
    private fun crashAndAnswer(
        crash: Int,
        nodes: List<Node>,
    ) {
        nodes[0].crashes.broke(traits, instance(crash))
        timer.advance(1.5.seconds)
        nodes[1].answer()
        timer.advance(1.5.seconds)
    }

    private fun instance(number: Int) = InstanceSamples.instance("server-$number")
}
