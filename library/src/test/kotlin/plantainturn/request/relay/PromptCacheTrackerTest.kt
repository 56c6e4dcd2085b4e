package plantainturn.request.relay

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import kotlin.test.assertEquals

/** Load pattern: many callers ask about few subjects, through different nodes. */
class PromptCacheTrackerTest {
    private val tracker = PromptCacheTracker()
    private val engine = UpstreamName("engine")
    private val model = ModelName("model")

    @Test
    fun `a part shared with an earlier request in flight counts as cached`() {
        tracker.onSend(engine, demand("first"))

        assertEquals(SHARED, tracker.cachedTokens(engine, demand("second")))
    }

    @Test
    fun `a request that ended before prefill leaves no cached parts`() {
        tracker.onSend(engine, demand("first"))
        tracker.onPrefillEnd(engine, demand("first"))

        assertEquals(0, tracker.cachedTokens(engine, demand("second")))
    }

    @Test
    fun `shared parts processed for one node are announced to the others, private parts are not`() {
        tracker.onPrefillDone(engine, demand("first"))
        val otherTracker = PromptCacheTracker()
        otherTracker.merge(tracker.takeUnannounced())

        assertEquals(SHARED, otherTracker.cachedTokens(engine, demand("first")))
        assertEquals(emptyList(), tracker.takeUnannounced())
        assertEquals(0, otherTracker.cachedTokens(UpstreamName("another"), demand("first")))
    }

    @Test
    fun `the cached parts of a model are forgotten when it is no longer resident`() {
        tracker.onPrefillDone(engine, demand("first"))
        tracker.retain { _, resident -> resident != model }

        assertEquals(0, tracker.cachedTokens(engine, demand("first")))
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
