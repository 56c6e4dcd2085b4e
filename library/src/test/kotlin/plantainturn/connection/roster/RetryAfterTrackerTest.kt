package plantainturn.connection.roster

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RetryAfterTrackerTest {
    private val tracker = RetryAfterTracker()
    private val run = InstanceRun(UpstreamName("a"), startedAt = 1)

    @Test
    fun `an instance gets no requests for as long as it asked`() {
        assertEquals(1_500.milliseconds, tracker.onRetryAfter(run, 1_500.milliseconds, at(0)))

        assertEquals(500.milliseconds, tracker.remaining(run, at(1_000)))
        assertNull(tracker.remaining(run, at(1_500)))
    }

    @Test
    fun `a shorter time does not shorten a longer backoff, and a longer one extends it`() {
        tracker.onRetryAfter(run, 5.seconds, at(0))

        assertEquals(4.seconds, tracker.onRetryAfter(run, 1.seconds, at(1_000)))
        assertEquals(9.seconds, tracker.onRetryAfter(run, 9.seconds, at(1_000)))
    }

    @Test
    fun `a backoff does not apply to another run of the instance`() {
        tracker.onRetryAfter(run, 5.seconds, at(0))

        assertNull(tracker.remaining(run.copy(startedAt = 2), at(1_000)))
    }

    @Test
    fun `a time that is not positive is ignored, and a huge one is capped`() {
        for (ignored in listOf(Duration.ZERO, (-3).seconds, -Duration.INFINITE)) {
            assertNull(tracker.onRetryAfter(run, ignored, at(0)), "$ignored")
            assertNull(tracker.remaining(run, at(0)), "$ignored")
        }
        for (huge in listOf(900.days, Duration.INFINITE)) {
            assertEquals(RetryAfterTracker.MAXIMUM_RETRY_AFTER, tracker.onRetryAfter(run, huge, at(0)), "$huge")
        }
    }

    private companion object {
        fun at(milliseconds: Int): Moment = Moment.ORIGIN + milliseconds.milliseconds
    }
}
