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
    fun `a stop prevents new requests and waits for those in flight`() {
        assertTrue(tracker.tryBegin())
        tracker.beginStop()
        assertFalse(tracker.tryBegin())
        assertFalse(tracker.awaitIdle(timer, 5.seconds))
        tracker.end()
        assertTrue(tracker.awaitIdle(timer, 5.seconds))
    }

    @Test
    fun `follow-up work of a request keeps the tracker from being idle`() {
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
    fun `a tracker without requests is idle immediately`() {
        tracker.beginStop()
        assertTrue(tracker.awaitIdle(timer, 5.seconds))
    }
}
