package plantainturn.request.relay

import org.junit.jupiter.api.Test
import kotlin.test.assertTrue

/** Guards against dispatch that overloads, starves or overlooks servers whose speed differs or changes. */
class UnevenServersTest {
    @Test
    fun `no server is starved and few requests meet a full queue`() {
        for ((name, load) in ReplayLoad.SERVICES + ReplayLoad.ENGINES) {
            for (nodes in NODE_COUNTS) {
                val result = UnevenReplay(load, nodes, seed = 1).play()
                assertTrue(result.refused <= MOST_REFUSED, "$name, $nodes nodes: $result")
                assertTrue(result.leastTaken > 0, "$name, $nodes nodes: $result")
            }
        }
    }

    private companion object {
        val NODE_COUNTS = listOf(8, 60)

        /** Nodes hear of each other's requests only at the next exchange, so that a few meet a queue that is full. */
        const val MOST_REFUSED = 0.03
    }
}
