package plantainturn.relay.node

import org.junit.jupiter.api.Test
import plantainturn.connection.store.StoreEra
import plantainturn.process.time.Moment
import plantainturn.process.time.VirtualTimerService
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ConfigurationFreshnessTest {
    private val timer = VirtualTimerService()
    private var currentAt: Moment? = null
    private var version = 4L
    private var era = StoreEra(1)
    private val freshness = ConfigurationFreshness(timer, { currentAt }, { version }, { era })

    /** Guards against a node that takes another configuration's confirmation for its own. */
    @Test
    fun `the store, or a peer that read no later version there, confirms`() {
        assertNull(freshness.confirmationAge)
        val early = timer.now()
        timer.advance(3.seconds)
        freshness.onConfirmed(5, timer.now())
        assertNull(freshness.confirmationAge)

        freshness.onConfirmed(4, early)
        assertEquals(3.seconds, freshness.confirmationAge)
        currentAt = timer.now()
        timer.advance(1.seconds)
        freshness.onConfirmed(4, early)
        assertEquals(1.seconds, freshness.confirmationAge)
    }

    /** Guards against a 401 from a node that starts on a copy of the store which lacks a configuration with the key. */
    @Test
    fun `a node that starts does not rely on its own reading before it has heard a peer or waited for one`() {
        era = StoreEra(2)
        currentAt = timer.now()
        timer.advance(2_999.milliseconds)
        assertNull(freshness.confirmationAge)
        timer.advance(1.milliseconds)

        assertEquals(3.seconds, freshness.confirmationAge)
    }

    /** Guards against a node that starts and can't say at once that nothing is at a path. */
    @Test
    fun `a node that starts relies on its own reading of a store that was never restored`() {
        currentAt = timer.now()

        assertEquals(0.seconds, freshness.confirmationAge)
    }

    /** Guards against a 401 from a running node that reads a store which came back without a configuration. */
    @Test
    fun `a node does not rely on its reading of a restored store before it has heard a peer or waited for one`() {
        freshness.onConfirmed(4, timer.now())
        timer.advance(5.seconds)
        currentAt = timer.now()
        assertEquals(0.seconds, freshness.confirmationAge)

        era = StoreEra(2)
        assertNull(freshness.confirmationAge)
        timer.advance(1.seconds)
        assertNull(freshness.confirmationAge)
        freshness.onConfirmed(4, timer.now())

        assertEquals(0.seconds, freshness.confirmationAge)
    }

    /** Guards against an issuer that the store turns away and that confirms its peers' configuration all the same. */
    @Test
    fun `what a peer confirmed is not told as the store's own word`() {
        freshness.onConfirmed(4, timer.now())

        assertNull(freshness.storeAge)
    }

    /** Guards against large records that are handed on although the store is about to give them, or over and over. */
    @Test
    fun `a later version is asked for after 400 ms, with a pause between requests, until it is there`() {
        freshness.onVersion(4)
        assertFalse(freshness.isLaterKnown)
        freshness.onVersion(5)
        timer.advance(399.milliseconds)
        freshness.onVersion(6)
        assertTrue(freshness.isLaterKnown)
        assertFalse(freshness.takeRequest())
        timer.advance(1.milliseconds)

        assertTrue(freshness.takeRequest())
        timer.advance(399.milliseconds)
        assertFalse(freshness.takeRequest())
        timer.advance(1.milliseconds)
        assertTrue(freshness.takeRequest())
        version = 6
        timer.advance(1.seconds)
        assertFalse(freshness.takeRequest())
        assertFalse(freshness.isLaterKnown)
    }

    /** Guards against requests that run by an old configuration at a node that can't get the one it has heard of. */
    @Test
    fun `a configuration is superseded once a later one has been known for a second`() {
        freshness.onVersion(5)
        timer.advance(999.milliseconds)
        assertFalse(freshness.isSuperseded)
        timer.advance(1.milliseconds)
        assertTrue(freshness.isSuperseded)
        version = 5
        assertFalse(freshness.isSuperseded)
        freshness.onVersion(6)
        timer.advance(6.001.seconds)

        assertFalse(freshness.isSuperseded, "nobody may have it any more")
    }

    /** Guards against sound nodes that can deny nothing while the store refuses the issuer: 20 of 99 on quiet-1. */
    @Test
    fun `a node reads by itself once its peers confirm too late`() {
        assertFalse(freshness.isPeerLate(1.seconds), "no peer is known yet")
        freshness.onConfirmed(4, timer.now())
        timer.advance(3.seconds)
        assertFalse(freshness.isPeerLate(1.seconds))
        timer.advance(1.milliseconds)

        assertTrue(freshness.isPeerLate(1.seconds))
    }

    /** Guards against a 404 for a route that was added: neither an old confirmation nor a known lag permits it. */
    @Test
    fun `only a configuration that was confirmed just now permits a denial`() {
        assertFalse(freshness.permitsDenial)
        freshness.onConfirmed(4, timer.now())
        timer.advance(2.seconds)
        assertTrue(freshness.permitsDenial)
        timer.advance(1.milliseconds)
        assertFalse(freshness.permitsDenial)
        freshness.onConfirmed(4, timer.now())
        freshness.onVersion(5)
        assertFalse(freshness.permitsDenial)
    }

    /** Guards against a wait that began with an earlier version, which the store had given in time. */
    @Test
    fun `the wait for each later version begins when it is heard of`() {
        freshness.onVersion(5)
        version = 5
        timer.advance(10.seconds)
        freshness.onVersion(6)

        assertFalse(freshness.takeRequest())
    }
}
