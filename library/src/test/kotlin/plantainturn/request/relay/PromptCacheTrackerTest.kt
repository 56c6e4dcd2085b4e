package plantainturn.request.relay

import kotlin.test.assertEquals
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName

/** Load pattern: many callers ask about few subjects, through different nodes. */
class PromptCacheTrackerTest {
    private val memory = PromptCacheTracker()
    private val engine = UpstreamName("engine")
    private val model = ModelName("model")

    @Test
    fun `a part that an earlier request in flight shares is not counted again`() {
        memory.onSend(engine, demand("first"))

        assertEquals(SHARED, memory.cachedTokens(engine, demand("second")))
    }

    @Test
    fun `a request that ended before it was read leaves nothing behind`() {
        memory.onSend(engine, demand("first"))
        memory.onPrefillEnd(engine, demand("first"))

        assertEquals(0, memory.cachedTokens(engine, demand("second")))
    }

    @Test
    fun `what one node's request had read is known at the others, own parts aside`() {
        memory.onPrefillDone(engine, demand("first"))
        val other = PromptCacheTracker()
        other.merge(memory.takeUnannounced())

        assertEquals(SHARED, other.cachedTokens(engine, demand("first")))
        assertEquals(emptyList(), memory.takeUnannounced())
        assertEquals(0, other.cachedTokens(UpstreamName("another"), demand("first")))
    }

    @Test
    fun `a model that is dropped takes what was kept for it along`() {
        memory.onPrefillDone(engine, demand("first"))
        memory.retain { _, resident -> resident != model }

        assertEquals(0, memory.cachedTokens(engine, demand("first")))
    }

    private fun demand(own: String) =
        GenerationDemand(
            model,
            null,
            SHARED + OWN,
            50,
            persistentListOf(PromptPart("subject", SHARED), PromptPart(own, OWN)),
        )

    private companion object {
        const val SHARED = 6_300
        const val OWN = 2_890
    }
}
