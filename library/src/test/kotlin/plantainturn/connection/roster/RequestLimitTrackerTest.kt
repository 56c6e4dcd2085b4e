package plantainturn.connection.roster

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class RequestLimitTrackerTest {
    private val tracker = RequestLimitTracker()
    private val run = InstanceRun(UpstreamName("a"), startedAt = 1)

    @Test
    fun `a limit holds until a later answer names none`() {
        assertTrue(say(1.6, askedAt = 0, heardAt = 50))
        assertFalse(say(1.6, askedAt = 100, heardAt = 150))
        assertEquals(1.6, tracker.limitOf(run))

        assertTrue(say(null, askedAt = 200, heardAt = 250))
        assertNull(tracker.limitOf(run))
    }

    @Test
    fun `an answer that was begun before the limit was named does not lift it, however late it ends`() {
        say(1.6, askedAt = 100, heardAt = 150)

        assertFalse(say(null, askedAt = 120, heardAt = 900))
        assertEquals(1.6, tracker.limitOf(run))
    }

    @Test
    fun `a late answer from before the limit was lifted does not bring it back`() {
        say(1.6, askedAt = 0, heardAt = 50)
        say(null, askedAt = 100, heardAt = 150)

        assertFalse(say(1.6, askedAt = 10, heardAt = 90))
        assertNull(tracker.limitOf(run))
    }

    @Test
    fun `of two answers whose order is unknown the stricter one holds`() {
        say(4.0, askedAt = 0, heardAt = 100)

        assertTrue(say(1.2, askedAt = 50, heardAt = 110))
        assertFalse(say(4.0, askedAt = 60, heardAt = 120))
        assertTrue(say(4.0, askedAt = 130, heardAt = 140))
    }

    @Test
    fun `another run of the instance has named nothing`() {
        say(1.6, askedAt = 0, heardAt = 50)

        assertNull(tracker.limitOf(InstanceRun(UpstreamName("a"), startedAt = 2)))
    }

    @Test
    fun `an answer to an unknown request names a limit and lifts none`() {
        assertTrue(tracker.record(run, LimitStatement(1.6, Moment.ORIGIN, at(50))))

        assertFalse(tracker.record(run, LimitStatement(null, Moment.ORIGIN, at(900))))
        assertEquals(1.6, tracker.limitOf(run))
    }

    private fun say(
        limit: Double?,
        askedAt: Int,
        heardAt: Int,
    ): Boolean = tracker.record(run, LimitStatement(limit, at(askedAt), at(heardAt)))

    private fun at(milliseconds: Int): Moment = Moment.ORIGIN + (1_000 + milliseconds).milliseconds
}
