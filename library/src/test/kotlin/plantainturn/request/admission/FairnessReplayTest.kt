package plantainturn.request.admission

import org.junit.jupiter.api.Test
import plantainturn.request.admission.FairnessReplay.Order
import plantainturn.request.admission.FairnessReplay.Result
import kotlin.test.assertTrue

/** Guards against accounts whose waiting requests end unserved, as another account sends many times its usual load. */
class FairnessReplayTest {
    /** Guards against a replay that passes in any order: by age alone, the 15 others share the wait of the hot one. */
    @Test
    fun `by age alone many requests of the others end unserved when the largest account is hot`() {
        forEachSeed { seed ->
            val result = FairnessReplay(setOf(LARGEST), seed = seed).play(Order.AGE)
            assertTrue(result.served.drop(1).average() < MOST_BY_AGE, "$result")
        }
    }

    @Test
    fun `beside one hot account the 15 others are served`() {
        for (hot in FairnessReplay.USUAL.indices) {
            forEachSeed { seed ->
                val result = FairnessReplay(setOf(hot), seed = seed).play(Order.TURNS)
                assertOthersServed(result, setOf(hot))
                assertNoneStarved(result)
            }
        }
    }

    @Test
    fun `beside three hot accounts the 13 others are served`() {
        for (hot in THREE_HOT) {
            for ((factor, rounds) in BURSTS) {
                forEachSeed { seed ->
                    val result = FairnessReplay(hot, factor, rounds, seed = seed).play(Order.TURNS)
                    assertOthersServed(result, hot)
                }
            }
        }
    }

    @Test
    fun `with less room than all usually need accounts within an equal part are served and none is starved`() {
        val equalPart = FairnessReplay.USUAL.sum() * SCARCE / FairnessReplay.USUAL.size
        val small = FairnessReplay.USUAL.indices.filter { FairnessReplay.USUAL[it] <= equalPart }
        for (hot in FairnessReplay.USUAL.indices) {
            forEachSeed { seed ->
                val result = FairnessReplay(setOf(hot), capacity = SCARCE, seed = seed).play(Order.TURNS)
                assertTrue((small - hot).all { result.served[it] >= NEARLY_ALL }, "hot $hot: $result")
                assertNoneStarved(result)
            }
        }
    }

    private fun assertOthersServed(
        result: Result,
        hot: Set<Int>,
    ) {
        val others = FairnessReplay.USUAL.indices - hot
        assertTrue(others.all { result.served[it] >= NEARLY_ALL }, "hot $hot: $result")
    }

    private fun assertNoneStarved(result: Result) =
        assertTrue(result.served.all { it >= result.ofAll * LEAST_OF_ALL }, "$result")

    private fun forEachSeed(check: (seed: Int) -> Unit) = (1..SEEDS).forEach(check)

    private companion object {
        const val LARGEST = 0
        const val SEEDS = 3
        val THREE_HOT = listOf(setOf(0, 3, 8), setOf(13, 14, 15), setOf(1, 2, 5))

        /** Multiples of the usual load, and the rounds for which they last. */
        val BURSTS = listOf(3.6 to 50, 3.6 to 110, 7.5 to 50, 7.5 to 110)

        /** Room for requests as a multiple of what all accounts usually send. */
        const val SCARCE = 0.8

        /** Beside three hot accounts, the largest one needs more than an equal part: 0.97 in one case. */
        const val NEARLY_ALL = 0.95
        const val MOST_BY_AGE = 0.7

        /** An account that is served less often than this part of what all are fails the deployment. */
        const val LEAST_OF_ALL = 0.25
    }
}
