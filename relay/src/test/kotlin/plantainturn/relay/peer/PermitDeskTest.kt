package plantainturn.relay.peer

import org.junit.jupiter.api.Test
import plantainturn.connection.roster.InstanceRoster
import plantainturn.connection.roster.InstanceRun
import plantainturn.connection.roster.LimitStatement
import plantainturn.connection.roster.RequestLimitTracker
import plantainturn.connection.roster.RetryAfterTracker
import plantainturn.process.control.lease.HolderIdentifier
import plantainturn.process.control.lease.StoreLease
import plantainturn.process.control.lease.StoreLeaseSettings
import plantainturn.process.time.Moment
import plantainturn.process.time.VirtualTimerService
import plantainturn.relay.node.InMemoryRecordStore
import plantainturn.relay.request.InstanceNotices
import plantainturn.version.configuration.UpstreamName
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PermitDeskTest {
    private val timer = VirtualTimerService(Moment.ORIGIN + 1_000.seconds)
    private val store = InMemoryRecordStore(timer)
    private val settings = StoreLeaseSettings(outageTolerance = 12.seconds)
    private val lease =
        StoreLease(store, HolderIdentifier("node"), "127.0.0.1:1", timer, ::wallClock, settings)
    private val notices = InstanceNotices(InstanceRoster(), RetryAfterTracker(), RequestLimitTracker(), timer) { }
    private val desk = PermitDesk(lease, notices, timer) { 3 }
    private val run = InstanceRun(UpstreamName("a"), startedAt = 1)

    init {
        timer.subscribe(50.milliseconds) { lease.step(mayContend = true) }
    }

    @Test
    fun `only the holder of the lease hands out permits`() {
        var answer: PermitGrant? = null
        desk.request(wish(patience = 500)) { answer = it }

        assertEquals(PermitGrant(granted = false, wait = 1_000), answer)
        timer.advance(1.seconds)
        assertTrue(grantsWithin(seconds = 8) in 14..17)
    }

    /** Its successor hands out the whole limit at the same time. */
    @Test
    fun `a holder that can't renew its lease hands out half of a limit`() {
        timer.advance(1.seconds)
        store.refusesAppends = true
        timer.advance(2.seconds)

        assertTrue(grantsWithin(seconds = 8) in 6..9)
    }

    @Test
    fun `requests that wait when the lease is lost are denied, and the next lease begins without a free permit`() {
        timer.advance(1.seconds)
        store.refusesAppends = true
        timer.advance(14.seconds)
        val answers = ArrayList<Boolean>()
        repeat(9) { desk.request(wish(patience = 30_000)) { answers += it.granted } }
        timer.advance(20.seconds)

        assertEquals(null, lease.fence)
        assertEquals(9, answers.size)
        assertTrue(answers.count { it } < 5, "$answers")
        store.refusesAppends = false
        timer.advance(5.seconds)
        assertEquals(0, grantsWithin(milliseconds = 400))
    }

    @Test
    fun `a limit that has been lifted since needs no permit`() {
        timer.advance(1.seconds)
        val now = timer.now()
        notices.onPeerLimits(mapOf(run to LimitStatement(2.0, now - 900.milliseconds, now - 800.milliseconds)))
        notices.onPeerLimits(mapOf(run to LimitStatement(null, now, now)))
        var answer: PermitGrant? = null

        desk.request(wish(patience = 0, heardAge = 800)) { answer = it }

        assertEquals(true, answer?.granted)
    }

    private fun grantsWithin(seconds: Int) = grantsWithin(milliseconds = seconds * 1_000L)

    /** Lets several nodes ask all the time, and returns how many permits they get. */
    private fun grantsWithin(milliseconds: Long): Int {
        var granted = 0
        repeat((milliseconds / 50).toInt()) {
            repeat(3) { desk.request(wish(patience = 600)) { if (it.granted) granted++ } }
            timer.advance(50.milliseconds)
        }
        return granted
    }

    private fun wish(
        patience: Long,
        heardAge: Long = 0,
    ) = PermitWish("node", RelayedLimit("a", 1, 2.0, heardAge + 10, heardAge), urgency = 1, inTimeFor = 200, patience)

    private fun wallClock(): Long = timer.now().nanoseconds / 1_000_000
}
