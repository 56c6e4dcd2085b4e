package plantainturn.relay.request

import org.junit.jupiter.api.Test
import plantainturn.connection.roster.LimitStatement
import plantainturn.connection.roster.RequestLimitTracker
import plantainturn.process.time.Moment
import plantainturn.process.time.VirtualTimerService
import plantainturn.relay.InstanceSamples
import plantainturn.request.relay.PermitRequest
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SendPermitsTest {
    private val timer = VirtualTimerService(Moment.ORIGIN + 1_000.seconds)
    private val limits = RequestLimitTracker()
    private val instance = InstanceSamples.instance("a")
    private var answer: Duration? = null
    private val permits = SendPermits(limits, timer) { _, _, done -> done(answer) }

    @Test
    fun `without a limit no permit is needed`() {
        assertNull(permits.waitFor(instance, urgency = 1))
        assertTrue(permits.tryTake(instance))
    }

    @Test
    fun `each send to a limited instance takes a permit of its own`() {
        limitIt()
        assertFalse(permits.tryTake(instance))

        request(urgency = 1)

        assertTrue(permits.tryTake(instance))
        assertFalse(permits.tryTake(instance))
    }

    @Test
    fun `a permit whose request has ended can be used for a moment only`() {
        limitIt()
        request(urgency = 1)
        timer.advance(150.milliseconds)
        assertTrue(permits.tryTake(instance))
        permits.putBack(instance)

        timer.advance(250.milliseconds)
        assertFalse(permits.tryTake(instance))
    }

    @Test
    fun `after a denial requests that are no more urgent wait as long, and more urgent ones may ask`() {
        limitIt()
        answer = 800.milliseconds
        request(urgency = 2)

        assertEquals(800.milliseconds, permits.waitFor(instance, urgency = 3))
        assertEquals(Duration.ZERO, permits.waitFor(instance, urgency = 1))
        timer.advance(1.seconds)
        assertEquals(Duration.ZERO, permits.waitFor(instance, urgency = 3))
    }

    private fun limitIt() {
        limits.record(instance.run, LimitStatement(2.0, timer.now(), timer.now()))
    }

    private fun request(urgency: Int) {
        permits.request(instance, PermitRequest(urgency, timer.now(), timer.now())) { }
    }
}
