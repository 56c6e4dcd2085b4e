package plantainturn.relay.request

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import plantainturn.process.time.VirtualTimerService
import plantainturn.relay.InstanceSamples
import plantainturn.request.quarantine.QuarantineRegister
import plantainturn.request.quarantine.RequestFingerprint
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class CrashTrackerTest {
    private val timer = VirtualTimerService()
    private val published = mutableListOf<String>()
    private var answeredSendAt: Moment? = null
    private val register = QuarantineRegister(timer)
    private val tracker =
        CrashTracker(register, { _, evidence -> published += evidence.upstream.value }, timer) { _, moment ->
            answeredSendAt?.let { it > moment } ?: false
        }
    private val fingerprint = RequestFingerprint(1)

    @Test
    fun `a break is published unless the instance answers a request that was sent afterwards`() {
        tracker.broke(fingerprint, instance(1))
        assertTrue(tracker.brokeAt(fingerprint, instance(1)))
        timer.advance(2.seconds)
        assertEquals(listOf("server-1"), published)
        assertTrue(tracker.brokeAt(fingerprint, instance(1)))
    }

    @Test
    fun `an answer to a request that was sent afterwards withdraws a break`() {
        tracker.broke(fingerprint, instance(1))
        timer.advance(0.1.seconds)
        answeredSendAt = timer.now()
        timer.advance(2.seconds)
        assertEquals(emptyList(), published)
        assertFalse(tracker.brokeAt(fingerprint, instance(1)))
    }

    @Test
    fun `an answer to a request that was sent before does not withdraw a break`() {
        answeredSendAt = timer.now()
        tracker.broke(fingerprint, instance(1))
        timer.advance(2.seconds)
        assertEquals(listOf("server-1"), published)
    }

    @Test
    fun `a further break is published at once and only once for each instance run`() {
        tracker.broke(fingerprint, instance(1))
        tracker.broke(fingerprint, instance(2))
        tracker.broke(fingerprint, instance(2))
        assertEquals(listOf("server-2"), published)
    }

    private fun instance(number: Int) = InstanceSamples.instance("server-$number")
}
