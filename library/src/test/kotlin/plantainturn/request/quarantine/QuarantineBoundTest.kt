package plantainturn.request.quarantine

import org.junit.jupiter.api.Test
import plantainturn.process.time.VirtualTimerService
import plantainturn.request.Samples
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Issue 24: a request was still sent on after three upstreams had ended while they ran it. */
class QuarantineBoundTest {
    private val timer = VirtualTimerService()
    private val register = QuarantineRegister(timer)
    private val fatal = RequestFingerprint(1)

    @Test
    fun `breaks count before the crashes are confirmed`() {
        (1..3).forEach { breakOff(fatal, it) }
        assertBlocked(fatal)
    }

    @Test
    fun `several fatal requests at once do not excuse each other`() {
        val requests = (1L..10L).map(::RequestFingerprint)
        repeat(3) { round ->
            requests.forEachIndexed { number, request -> breakOff(request, round * 10 + number) }
            timer.advance(1.seconds)
        }
        requests.forEach(::assertBlocked)
    }

    @Test
    fun `a restarted upstream with the same name counts as another run`() {
        listOf("first", "second", "third").forEach { breakOff(fatal, 1, incarnation = it) }
        assertBlocked(fatal)
    }

    @Test
    fun `snapshots contain quarantined fingerprints before the suspects of an outage`() {
        (1..3).forEach { breakOff(fatal, it) }
        timer.advance(100.milliseconds)
        (100L..300L).forEach { breakOff(RequestFingerprint(it), 9) }
        val other = QuarantineRegister(timer)
        other.merge(register.snapshot())
        assertTrue(other.isQuarantined(fatal))
    }

    private fun breakOff(
        fingerprint: RequestFingerprint,
        upstream: Int,
        incarnation: String = "first",
    ) {
        register.tryBegin(fingerprint, Samples.engineName(upstream))
        register.broke(fingerprint, CrashEvidence(Samples.engineName(upstream), incarnation)) {
            CrashVerdict.UNKNOWN
        }
    }

    private fun assertBlocked(fingerprint: RequestFingerprint) =
        assertFalse(register.tryBegin(fingerprint, Samples.engineName(99)), "$fingerprint is sent on")
}
