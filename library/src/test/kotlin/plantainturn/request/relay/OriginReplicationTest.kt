package plantainturn.request.relay

import org.junit.jupiter.api.Test
import plantainturn.connection.roster.SoftwareVersion
import plantainturn.request.RequestIdentifier
import plantainturn.request.relay.OriginNetwork.State
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Callers hold events whose software version only a node that ended knew: their streams could not be resumed. */
class OriginReplicationTest {
    @Test
    fun `the version of a stream with a shown event is found after any two nodes were killed at any moment`() {
        for (second in 1..<NODES) for (moments in 0..MOMENTS) assertFoundAfterKilling(second, MOMENT * moments)
    }

    private fun assertFoundAfterKilling(
        second: Int,
        after: Duration,
    ) {
        val network = OriginNetwork(NODES)
        val shown = network.nodes[0].begin("s", "v1")
        network.timer.advance(after)
        val wasShown = shown() != null
        network.nodes[0].state = State.DEAD
        network.nodes[second].state = State.DEAD

        for (node in network.nodes.filter { it.state == State.SOUND }) {
            val found = node.find("s")
            if (wasShown) assertEquals(V1, found, "node $second killed too, after $after")
        }
    }

    @Test
    fun `an event waits no longer than it may, whatever is wrong with other nodes`() {
        for (state in State.entries - State.SOUND) {
            for (sound in 0..2) {
                val network = OriginNetwork(NODES)
                network.nodes.drop(1 + sound).forEach { it.state = state }
                val shown = network.nodes[0].begin("s", "v1")
                network.timer.advance(OriginReplication.PATIENCE)

                assertNotNull(shown(), "$state, $sound sound nodes")
                if (sound > 0 && state in listOf(State.DEAD, State.OLDER_BUILD)) {
                    assertEquals(OriginTelling.KEPT, shown(), "$state, $sound sound nodes")
                }
            }
        }
    }

    @Test
    fun `a node that is cut off from all others soon shows events at once, and waits again once it is not`() {
        val network = OriginNetwork(LARGE)
        network.nodes[0].state = State.CUT_OFF
        repeat(STREAMS) {
            val shown = network.nodes[0].begin("s$it", "v1")
            if (it >= 3) assertEquals(OriginTelling.ALONE, shown())
            network.timer.advance(OriginNetwork.TIMEOUT + 2.milliseconds)
        }
        network.nodes[0].state = State.SOUND
        network.timer.advance(2.seconds)
        val shown = network.nodes[0].begin("later", "v1")
        assertNull(shown())
        network.timer.advance(OriginNetwork.LATENCY * 2)

        assertEquals(OriginTelling.KEPT, shown())
    }

    @Test
    fun `a version is found though the nodes know different others`() {
        val network = OriginNetwork(NODES)
        network.nodes[0].keepers.onNodes(mapOf("node-5" to null), isFirst = false)
        network.nodes[1].keepers.onNodes(mapOf("node-4" to null, "node-0" to null), isFirst = false)

        repeat(STREAMS) {
            network.nodes[0].begin("s$it", "v1")
            network.timer.advance(MOMENT)
        }
        network.timer.advance(MOMENT * MOMENTS)
        network.nodes[0].state = State.DEAD

        repeat(STREAMS) { assertEquals(V1, network.nodes[1].find("s$it")) }
    }

    @Test
    fun `a new issuer that has heard of few nodes takes no keepers away`() {
        val network = OriginNetwork(NODES)
        network.nodes.forEach { it.keepers.onNodes(mapOf(it.address to it.run), isFirst = true) }

        val shown = network.nodes[0].begin("s", "v1")
        network.timer.advance(MOMENT * MOMENTS)
        network.nodes[0].state = State.DEAD

        assertEquals(OriginTelling.KEPT, shown())
        for (node in network.nodes.drop(1)) assertEquals(V1, node.find("s"))
        network.timer.advance(10.seconds)
        assertEquals(0, network.nodes[1].keepers.size)
    }

    @Test
    fun `a node that is no longer listed is still asked`() {
        val network = OriginNetwork(LARGE)
        network.nodes[0].begin("s", "v1")
        network.timer.advance(MOMENT * MOMENTS)
        network.nodes[0].state = State.DEAD
        val keepers = network.nodes.drop(1).filter { it.origins.versionOf(RequestIdentifier("s")) != null }
        val asking = network.nodes.drop(1).first { it !in keepers }
        asking.keepers.onNodes(keepers.associate { it.address to null }, isFirst = false)

        assertEquals(V1, asking.find("s"))
    }

    @Test
    fun `other nodes keep what a keeper that ended or started again has lost`() {
        val network = OriginNetwork(NODES)
        val stream = RequestIdentifier("s")
        network.nodes[0].begin("s", "v1")
        network.timer.advance(1.seconds)
        val keepers = network.nodes.drop(1).filter { it.origins.versionOf(stream) != null }
        assertEquals(2, keepers.size)

        val changes = mapOf(keepers[0].address to null, keepers[1].address to "another run")
        network.nodes[0].keepers.onNodes(changes, isFirst = false)
        keepers[0].state = State.DEAD
        keepers[1].origins.onInstances(emptyList())
        val messages = network.nodes[0].messages
        network.timer.advance(1.seconds)

        assertEquals(messages + 2, network.nodes[0].messages)
        assertEquals(3, network.nodes.drop(1).count { it.origins.versionOf(stream) != null })
    }

    @Test
    fun `streams that began before a second version served are told once it does`() {
        val network = OriginNetwork(NODES)
        network.nodes[0].mixed = emptySet()
        network.nodes[0].origins.onEvent(RequestIdentifier("s"), OriginNetwork.instance("e", "v1"), sentAt = 0)
        network.timer.advance(1.seconds)
        assertEquals(0, network.nodes[0].messages)

        network.nodes[0].mixed = setOf(OriginNetwork.SERVICE)
        network.timer.advance(1.seconds)
        network.nodes[0].state = State.DEAD

        assertEquals(V1, network.nodes[1].find("s"))
    }

    @Test
    fun `a corrected version replaces the first one, also where the first one arrives once more`() {
        val network = OriginNetwork(NODES)
        val stream = RequestIdentifier("s")
        val node = network.nodes[0]
        node.origins.onInstances(listOf(OriginNetwork.instance("e", "v1", startedAt = 1)))
        node.origins.onEvent(stream, OriginNetwork.instance("e", "v1", startedAt = 1), sentAt = 9_000)
        node.replication.tell(stream) { }
        network.timer.advance(1.seconds)
        val first = StreamOrigin(stream, V1)

        node.origins.onInstances(listOf(OriginNetwork.instance("e", "v2", startedAt = 8_000)))
        network.timer.advance(1.seconds)
        network.nodes.drop(1).forEach { it.origins.learn(listOf(first)) }
        node.state = State.DEAD

        val keepers = network.nodes.drop(1).filter { it.origins.originOf(stream)?.correction == 1 }
        assertEquals(2, keepers.size)
        assertTrue(keepers.all { it.origins.versionOf(stream) == SoftwareVersion("v2") })
    }

    @Test
    fun `a search is certain only if every node that may know the version has answered or ended`() {
        for ((state, expected) in mapOf(State.SOUND to true, State.DEAD to true, State.SLOW to false)) {
            val network = OriginNetwork(NODES)
            network.nodes.drop(2).forEach { it.state = state }
            var isCertain: Boolean? = null
            network.nodes[0].replication.find(RequestIdentifier("unknown")) { isCertain = it }
            network.timer.advance(1.seconds)

            assertEquals(expected, isCertain, "$state")
            assertNull(network.nodes[0].origins.versionOf(RequestIdentifier("unknown")))
        }
    }

    @Test
    fun `streams that begin while a keeper is slow to answer share its next message`() {
        val network = OriginNetwork(2)
        repeat(STREAMS) { network.nodes[0].begin("s$it", "v1") }
        network.timer.advance(MOMENT * MOMENTS)

        assertEquals(2, network.nodes[0].messages)
        assertEquals(V1, network.nodes[1].origins.versionOf(RequestIdentifier("s${STREAMS - 1}")))
    }

    private companion object {
        const val NODES = 6
        const val LARGE = 80
        const val STREAMS = 100
        const val MOMENTS = 24
        val MOMENT = 0.5.milliseconds
        val V1 = SoftwareVersion("v1")
    }
}
