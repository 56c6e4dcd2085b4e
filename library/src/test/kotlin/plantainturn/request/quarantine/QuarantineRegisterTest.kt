package plantainturn.request.quarantine

import org.junit.jupiter.api.Test
import plantainturn.process.time.VirtualTimerService
import plantainturn.request.Samples
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class QuarantineRegisterTest {
    private val timer = VirtualTimerService()
    private val register = QuarantineRegister(timer)
    private val poison = RequestFingerprint(1)
    private val harmless = RequestFingerprint(2)

    @Test
    fun `crashes of two upstreams quarantine a request until the quarantine expires`() {
        assertFalse(crash(poison, 1))
        assertTrue(crash(poison, 2))
        assertFalse(begin(poison, 3))
        assertTrue(begin(harmless, 3))
        timer.advance(10.minutes)
        assertTrue(begin(poison, 3))
    }

    @Test
    fun `several breaks at one run of an upstream count once`() {
        repeat(3) { assertFalse(crash(poison, 1)) }
        assertTrue(begin(poison, 2))
    }

    @Test
    fun `a break does not count against a request if the upstream survived`() {
        crash(poison, 1, confirmed = false)
        assertFalse(crash(poison, 2, confirmed = false))
        assertTrue(begin(poison, 3))
    }

    @Test
    fun `a success clears a suspect`() {
        crash(harmless, 1)
        begin(harmless, 2)
        register.succeeded(harmless, Samples.engineName(2))
        assertFalse(crash(harmless, 3))
    }

    @Test
    fun `a suspect puts no further upstream at risk, even while it is in flight`() {
        listOf(1, 2, 3).forEach { assertTrue(begin(poison, it)) }
        crashBegun(poison, 1)
        assertFalse(begin(poison, 4))
        assertFalse(begin(poison, 2))
    }

    @Test
    fun `simultaneous breaks of many suspects do not quarantine them, but block further upstreams`() {
        val suspects = (10L..15L).map(::RequestFingerprint)
        suspects.forEach { assertTrue(begin(it, 1)) }
        suspects.forEach { crashBegun(it, 1) }
        suspects.forEach { assertTrue(begin(it, 2)) }
        suspects.forEach { assertFalse(crashBegun(it, 2)) }
        assertFalse(suspects.any(register::isQuarantined))
        assertFalse(suspects.any { begin(it, 3) })
        timer.advance(60.seconds)
        assertTrue(suspects.all { begin(it, 3) })
    }

    @Test
    fun `breaks during an outage of upstreams that did not run it do not count against a request`() {
        crash(harmless, 1)
        crash(RequestFingerprint(20), 4)
        crash(RequestFingerprint(21), 5)
        assertFalse(crash(harmless, 2))
        assertTrue(begin(harmless, 3))
    }

    @Test
    fun `a suspect avoids upstreams where other suspects are in flight`() {
        crash(poison, 1)
        crash(harmless, 1)
        begin(harmless, 2)
        assertEquals(setOf(Samples.engineName(2)), register.upstreamsToAvoid(poison))
        assertEquals(setOf(), register.upstreamsToAvoid(RequestFingerprint(30)))
    }

    @Test
    fun `gossip carries suspicion and quarantine, in any order and repeatedly`() {
        val other = QuarantineRegister(timer)
        crash(poison, 1)
        repeat(2) { other.merge(register.snapshot()) }
        assertTrue(crash(poison, 2, register = other))
        repeat(2) { register.merge(other.snapshot()) }
        other.merge(register.snapshot())
        assertTrue(register.isQuarantined(poison))
        timer.advance(10.minutes)
        assertFalse(register.isQuarantined(poison))
        assertEquals(0, register.snapshot().size)
    }

    @Test
    fun `cases and snapshots are bounded and quarantined fingerprints are evicted last`() {
        crash(poison, 1)
        crash(poison, 2)
        timer.advance(6.seconds)
        (100L..5_000L).forEach { crash(RequestFingerprint(it), 3) }
        assertTrue(register.isQuarantined(poison))
        assertEquals(64, register.snapshot().size)
    }

    private fun begin(
        fingerprint: RequestFingerprint,
        upstream: Int,
        register: QuarantineRegister = this.register,
    ) = register.tryBegin(fingerprint, Samples.engineName(upstream))

    private fun crash(
        fingerprint: RequestFingerprint,
        upstream: Int,
        confirmed: Boolean = true,
        register: QuarantineRegister = this.register,
    ): Boolean {
        begin(fingerprint, upstream, register)
        return crashBegun(fingerprint, upstream, confirmed, register)
    }

    private fun crashBegun(
        fingerprint: RequestFingerprint,
        upstream: Int,
        confirmed: Boolean = true,
        register: QuarantineRegister = this.register,
    ) = register.broke(fingerprint, CrashEvidence(Samples.engineName(upstream), "first")) {
        if (confirmed) CrashVerdict.CONFIRMED else CrashVerdict.SURVIVED
    }
}
