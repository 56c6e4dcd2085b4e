package plantainturn.request.relay

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ServiceReachTest {
    private val reach = ServiceReach()
    private var now = Moment.ORIGIN + 100.seconds

    /** Guards against a node that takes a crash of one instance for a cut of its own paths. */
    @Test
    fun `one failing instance of several is no cut`() {
        repeat(5) { fail("a") }

        assertEquals(ReachState.DOUBTFUL, update())
        now += 10.seconds
        assertEquals(ReachState.DOUBTFUL, update(heardElsewhereAt = now))
    }

    @Test
    fun `a cut is presumed when a second instance fails, and certain when another node hears one later`() {
        val begun = now
        fail("a")
        fail("b")

        assertEquals(ReachState.PRESUMED_CUT_OFF, update(heardElsewhereAt = begun))
        now += 1.seconds
        assertEquals(ReachState.PRESUMED_CUT_OFF, update(heardElsewhereAt = begun + 400.milliseconds))
        assertEquals(ReachState.CUT_OFF, update(heardElsewhereAt = begun + 401.milliseconds))
    }

    /** Guards against an outage of all instances that every node takes for a cut of its own. */
    @Test
    fun `it is no cut if other nodes hear nothing either`() {
        fail("a")
        fail("b")
        update()
        now += 2.1.seconds

        assertEquals(ReachState.UNHEARD_BY_ALL, update())
        assertFalse(reach.state.isCutOff)
        assertEquals(ReachState.CUT_OFF, update(heardElsewhereAt = now), "another node hears them again first")
    }

    /** Guards against a cut that is not believed as the other nodes have no requests, and so hear nothing. */
    @Test
    fun `a cut is presumed for as long as other nodes try no instance`() {
        fail("a")
        fail("b")
        update()
        now += 10.seconds

        val state = reach.update(now, instances = 4, heardElsewhereAt = null, isTriedElsewhere = false)

        assertEquals(ReachState.PRESUMED_CUT_OFF, state)
    }

    @Test
    fun `anything that is heard ends a cut`() {
        fail("a")
        fail("b")
        update(heardElsewhereAt = now + 1.seconds)
        reach.onHeard()

        assertEquals(ReachState.REACHED, reach.state)
        fail("a")
        assertEquals(ReachState.DOUBTFUL, update(), "earlier failures no longer count")
    }

    @Test
    fun `a service without instances is no reason to go by way of another node`() {
        fail("a")

        assertFalse(reach.update(now, instances = 0, heardElsewhereAt = null).isCutOff)
    }

    @Test
    fun `the only instance of a service is enough`() {
        fail("a")

        assertEquals(ReachState.PRESUMED_CUT_OFF, reach.update(now, instances = 1, heardElsewhereAt = null))
    }

    /** Guards against refusals of requests for which no connection opens, while old ones bring answers to others. */
    @Test
    fun `a request whose own connections failed goes another way whatever is heard`() {
        fail("a")
        reach.onHeard()
        fail("b")
        reach.onHeard()

        assertEquals(ReachState.REACHED, reach.state)
        assertFalse(isOutOfReach("a", hasOther = false), "one instance may fail by itself")
        assertTrue(isOutOfReach("a", "b", hasOther = false))
        assertFalse(isOutOfReach("a", "b", hasOther = true), "a third one may be sound")
        assertTrue(isOutOfReach("a", "b", "c", "d", hasOther = true))
        assertTrue(reach.isOutOfReach(setOf(UpstreamName("a")), instances = 1, hasOther = false))
        assertFalse(reach.isOutOfReach(emptySet(), instances = 0, hasOther = false))
    }

    /** Guards against requests that go round all nodes when all instances have failed. */
    @Test
    fun `no request goes another way while other nodes hear nothing either`() {
        fail("a")
        fail("b")
        update()
        now += 2.1.seconds
        update()

        assertFalse(isOutOfReach("a", "b", hasOther = false))
    }

    /** Guards against new connections all the time: a sound server may be silent for a while. */
    @Test
    fun `paths are tried only after a request has had no answer of any instance for 300 ms`() {
        assertFalse(reach.isSilent(now))
        reach.onSent(now)
        now += 299.milliseconds
        assertFalse(reach.isSilent(now))
        now += 1.milliseconds
        assertTrue(reach.isSilent(now))
        reach.onHeard()
        assertFalse(reach.isSilent(now))
    }

    private fun fail(instance: String): Unit = reach.onFailure(UpstreamName(instance), now)

    private fun isOutOfReach(
        vararg unreachable: String,
        hasOther: Boolean,
    ): Boolean = reach.isOutOfReach(unreachable.map(::UpstreamName).toSet(), instances = 6, hasOther)

    private fun update(heardElsewhereAt: Moment? = null): ReachState =
        reach.update(now, instances = 4, heardElsewhereAt)
}
