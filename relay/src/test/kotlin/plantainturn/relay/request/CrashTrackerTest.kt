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

class CrashWatchTest {
    private val timer = VirtualTimerService()
    private val told = mutableListOf<String>()
    private var answeredSendAt: Moment? = null
    private val register = QuarantineRegister(timer)
    private val watch =
        CrashTracker(register, { _, evidence -> told += evidence.upstream.value }, timer) { _, moment ->
            answeredSendAt?.let { it > moment } ?: false
        }
    private val fingerprint = RequestFingerprint(1)

    @Test
    fun `a break is told unless the instance answers a request that was sent afterwards`() {
        watch.broke(fingerprint, instance(1))
        assertTrue(watch.brokeAt(fingerprint, instance(1)))
        timer.advance(2.seconds)
        assertEquals(listOf("server-1"), told)
        assertTrue(watch.brokeAt(fingerprint, instance(1)))
    }

    @Test
    fun `an answer to a request that was sent afterwards takes a break back`() {
        watch.broke(fingerprint, instance(1))
        timer.advance(0.1.seconds)
        answeredSendAt = timer.now()
        timer.advance(2.seconds)
        assertEquals(emptyList(), told)
        assertFalse(watch.brokeAt(fingerprint, instance(1)))
    }

    @Test
    fun `an answer to a request that was sent before says nothing`() {
        answeredSendAt = timer.now()
        watch.broke(fingerprint, instance(1))
        timer.advance(2.seconds)
        assertEquals(listOf("server-1"), told)
    }

    @Test
    fun `a further break is told at once and each run once`() {
        watch.broke(fingerprint, instance(1))
        watch.broke(fingerprint, instance(2))
        watch.broke(fingerprint, instance(2))
        assertEquals(listOf("server-2"), told)
    }

    private fun instance(number: Int) = InstanceSamples.instance("server-$number")
}
