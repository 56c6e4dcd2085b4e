package plantainturn.relay.peer

import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class KnownPeersTest {
    /** Guards against a node that asks itself, or one peer only, which may be turned away too. */
    @Test
    fun `the peers are asked in turn, and never the node itself`() {
        val peers = KnownPeers("10.0.0.1:1")
        assertNull(peers.next())
        peers.add(listOf("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"))
        peers.add(listOf("10.0.0.2:1"))

        assertEquals(listOf("10.0.0.2:1", "10.0.0.3:1", "10.0.0.2:1"), List(3) { "${peers.next()}" })
    }

    /** Guards against addresses of nodes that are long gone. */
    @Test
    fun `the newest addresses replace the oldest`() {
        val peers = KnownPeers("10.0.0.1:1")
        peers.add((2..10).map { "10.0.0.$it:1" })

        assertEquals("10.0.0.3:1", "${peers.next()}")
    }

    /** Guards against reports that name the same few nodes to all. */
    @Test
    fun `successive reports name all nodes`() {
        val addresses = (1..5).map { "10.0.0.$it:1" }

        assertEquals(addresses.toSet(), (0L..2L).flatMap { KnownPeers.forReport(addresses, it) }.toSet())
        assertEquals(2, KnownPeers.forReport(addresses, 7).size)
    }
}
