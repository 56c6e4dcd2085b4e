package plantainturn.connection.roster

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class InstanceRosterTest {
    private val roster = InstanceRoster(lapseGrace = 1_200.milliseconds, regainGrace = 2_200.milliseconds)
    private val a = UpstreamName("a")

    @Test
    fun `a leaving instance is not serving and is dropped as soon as its entry disappears`() {
        roster.put(instance("a", leaving = true))

        assertFalse(a in roster.serving())
        roster.remove(a, at(0))
        assertFalse(a in roster.instances)
    }

    @Test
    fun `an instance whose entry lapses is dropped after the grace period`() {
        roster.put(instance("a"))
        roster.remove(a, at(0))

        assertEquals(emptyList(), roster.expire(at(1_199)))
        assertTrue(a in roster.serving())
        assertEquals(listOf(a), roster.expire(at(1_200)))
    }

    @Test
    fun `after a store outage lapsed entries are kept for the regain grace`() {
        roster.put(instance("a"))
        roster.onStoreLost()
        roster.remove(a, at(0))
        assertEquals(emptyList(), roster.expire(at(9_000)), "the store is still unavailable")
        roster.onStoreRegained(at(9_000))

        assertEquals(emptyList(), roster.expire(at(11_100)))
        assertEquals(listOf(a), roster.expire(at(11_200)))
    }

    @Test
    fun `an entry that returns within the grace period is kept`() {
        roster.put(instance("a"))
        roster.remove(a, at(0))
        roster.put(instance("a"))

        assertEquals(emptyList(), roster.expire(at(60_000)))
    }

    @Test
    fun `replacing all entries treats missing instances as removed`() {
        roster.put(instance("a"))
        roster.replace(listOf(instance("b")), at(0))

        assertTrue(a in roster.serving())
        roster.expire(at(1_200))
        assertEquals(setOf(UpstreamName("b")), roster.serving().keys)
    }

    @Test
    fun `an instance that announced its leaving in an answer is not serving, whatever its entry says`() {
        roster.put(instance("a"))
        assertTrue(roster.markLeaving(InstanceRun(a, startedAt = 1)))
        assertFalse(a in roster.serving())

        roster.put(instance("a"))
        assertFalse(a in roster.serving(), "its entry was renewed")
        roster.replace(listOf(instance("a")), at(0))
        assertFalse(a in roster.serving(), "all entries were read again")
        assertFalse(roster.markLeaving(InstanceRun(a, startedAt = 1)), "already known")
    }

    @Test
    fun `an announced leaving is remembered when the entry disappears and returns`() {
        roster.put(instance("a"))
        roster.markLeaving(InstanceRun(a, startedAt = 1))
        roster.remove(a, at(0))
        roster.expire(at(60_000))
        roster.put(instance("a"))

        assertFalse(a in roster.serving())
    }

    @Test
    fun `another run of an instance that left is serving`() {
        roster.put(instance("a"))
        roster.markLeaving(InstanceRun(a, startedAt = 1))
        roster.put(instance("a").copy(startedAt = 2))

        assertTrue(a in roster.serving())
        assertEquals(emptyList(), roster.departures())
    }

    @Test
    fun `a leaving reported by a peer applies to an entry that is read later`() {
        assertTrue(roster.markLeaving(InstanceRun(a, startedAt = 1)))
        roster.put(instance("a"))

        assertFalse(a in roster.serving())
        assertEquals(listOf(InstanceRun(a, startedAt = 1)), roster.departures())
    }

    private companion object {
        fun at(milliseconds: Int): Moment = Moment.ORIGIN + milliseconds.milliseconds
    }
}
