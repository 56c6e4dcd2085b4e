package plantainturn.request

import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class RequestTrackerTest {
    private val tracker = RequestTracker()
    private val timer = SelfAdvancingTimerService()

    @Test
    fun `a stop lets no request begin and waits for those that had begun`() {
        assertTrue(tracker.tryBegin())
        tracker.beginStop()
        assertFalse(tracker.tryBegin())
        assertFalse(tracker.awaitIdle(timer, 5.seconds))
        tracker.end()
        assertTrue(tracker.awaitIdle(timer, 5.seconds))
    }

    @Test
    fun `work left behind by a request keeps the node from being idle`() {
        tracker.tryBegin()
        tracker.beginStop()
        tracker.beginFollowUp()
        tracker.end()
        assertEquals(1, tracker.inFlight)
        assertFalse(tracker.awaitIdle(timer, 5.seconds))
        tracker.end()
        assertTrue(tracker.awaitIdle(timer, 5.seconds))
    }

    @Test
    fun `a node without requests is idle at once`() {
        tracker.beginStop()
        assertTrue(tracker.awaitIdle(timer, 5.seconds))
    }
}
