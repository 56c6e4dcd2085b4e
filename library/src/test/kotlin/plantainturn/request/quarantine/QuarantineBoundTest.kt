package plantainturn.request.quarantine

import org.junit.jupiter.api.Test
import plantainturn.process.time.VirtualTimerService
import plantainturn.request.Samples
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Issue 24: a request under which three upstreams had ended was sent on. */
class QuarantineBoundTest {
    private val timer = VirtualTimerService()
    private val register = QuarantineRegister(timer)
    private val fatal = RequestFingerprint(1)

    @Test
    fun `ends that do not show yet are not forgotten`() {
        (1..3).forEach { breaks(fatal, it) }
        assertStopped(fatal)
    }

    @Test
    fun `several fatal requests at once do not excuse each other`() {
        val requests = (1L..10L).map(::RequestFingerprint)
        repeat(3) { round ->
            requests.forEachIndexed { number, request -> breaks(request, round * 10 + number) }
            timer.advance(1.seconds)
        }
        requests.forEach(::assertStopped)
    }

    @Test
    fun `an upstream that starts again under its name counts again`() {
        listOf("first", "second", "third").forEach { breaks(fatal, 1, incarnation = it) }
        assertStopped(fatal)
    }

    @Test
    fun `quarantines are told before the suspects of an outage`() {
        (1..3).forEach { breaks(fatal, it) }
        timer.advance(100.milliseconds)
        (100L..300L).forEach { breaks(RequestFingerprint(it), 9) }
        val other = QuarantineRegister(timer)
        other.merge(register.snapshot())
        assertTrue(other.isQuarantined(fatal))
    }

    private fun breaks(
        fingerprint: RequestFingerprint,
        upstream: Int,
        incarnation: String = "first",
    ) {
        register.tryBegin(fingerprint, Samples.engineName(upstream))
        register.broke(fingerprint, CrashEvidence(Samples.engineName(upstream), incarnation)) {
            CrashVerdict.UNKNOWN
        }
    }

    private fun assertStopped(fingerprint: RequestFingerprint) =
        assertFalse(register.tryBegin(fingerprint, Samples.engineName(99)), "$fingerprint is sent on")
}
