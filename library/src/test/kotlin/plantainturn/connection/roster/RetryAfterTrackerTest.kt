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

class RestRequestsTest {
    private val rests = RetryAfterTracker()
    private val run = InstanceRun(UpstreamName("a"), startedAt = 1)

    @Test
    fun `an instance is left alone for as long as it asked`() {
        assertEquals(1_500.milliseconds, rests.onRetryAfter(run, 1_500.milliseconds, at(0)))

        assertEquals(500.milliseconds, rests.remaining(run, at(1_000)))
        assertNull(rests.remaining(run, at(1_500)))
    }

    @Test
    fun `a later answer with a shorter time does not end a longer rest, and a longer one prolongs it`() {
        rests.onRetryAfter(run, 5.seconds, at(0))

        assertEquals(4.seconds, rests.onRetryAfter(run, 1.seconds, at(1_000)))
        assertEquals(9.seconds, rests.onRetryAfter(run, 9.seconds, at(1_000)))
    }

    @Test
    fun `another run of the instance has asked for nothing`() {
        rests.onRetryAfter(run, 5.seconds, at(0))

        assertNull(rests.remaining(run.copy(startedAt = 2), at(1_000)))
    }

    @Test
    fun `no time is no rest, and years are not kept`() {
        for (nonsense in listOf(Duration.ZERO, (-3).seconds, -Duration.INFINITE)) {
            assertNull(rests.onRetryAfter(run, nonsense, at(0)), "$nonsense")
            assertNull(rests.remaining(run, at(0)), "$nonsense")
        }
        for (endless in listOf(900.days, Duration.INFINITE)) {
            assertEquals(RetryAfterTracker.MAXIMUM_RETRY_AFTER, rests.onRetryAfter(run, endless, at(0)), "$endless")
        }
    }

    private companion object {
        fun at(milliseconds: Int): Moment = Moment.ORIGIN + milliseconds.milliseconds
    }
}
