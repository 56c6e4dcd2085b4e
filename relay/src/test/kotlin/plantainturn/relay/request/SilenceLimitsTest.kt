package plantainturn.relay.request

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import plantainturn.version.configuration.ServiceName
import plantainturn.version.route.Destination
import plantainturn.version.route.Repetition
import plantainturn.version.route.Route
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SilenceLimitsTest {
    /** Guards against streams that are taken from a sound server which pauses for a second or so. */
    @Test
    fun `a stream that has begun stays with its server until shortly before its caller gives up`() {
        assertEquals(3.2.seconds, SilenceLimits.of(stream(eventTimeout = 4.seconds), isAnswering = true))
        assertTrue(SilenceLimits.of(stream(eventTimeout = 2.seconds), isAnswering = true) > 1.seconds)
    }

    private fun stream(eventTimeout: Duration) =
        Route(
            name = "stream",
            host = "host",
            pathPrefix = "/",
            repetition = Repetition.RESUMABLE_STREAM,
            destinations = persistentListOf(Destination(ServiceName("llm"), 1.0)),
            attempts = 2,
            timeout = 15.seconds,
            objective = 500.milliseconds,
            eventGapObjective = 500.milliseconds,
            eventTimeout = eventTimeout,
            urgency = 1,
        )
}
