package plantainturn.relay.node

import org.junit.jupiter.api.Test
import plantainturn.connection.log.LogOffset
import plantainturn.connection.store.KeyedRecord
import plantainturn.process.time.VirtualTimerService
import plantainturn.request.quarantine.CrashEvidence
import plantainturn.request.quarantine.QuarantineRegister
import plantainturn.request.quarantine.RequestFingerprint
import plantainturn.version.configuration.UpstreamName
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class CrashEvidenceTopicTest {
    private val timer = VirtualTimerService()
    private val store = InMemoryRecordStore(timer)
    private val fingerprint = RequestFingerprint(7)
    private var wallClockTime = 1_000_000_000L

    @Test
    fun `crash evidence of many requests is written in one call`() {
        val topic = topic(register())
        (1L..64L).forEach { topic.publish(RequestFingerprint(it), evidence(1)) }
        timer.advance(1.seconds)
        assertEquals(64, store.records.size)
        assertEquals(1, store.appends)
    }

    @Test
    fun `crash evidence that the store refuses is written later`() {
        val topic = topic(register())
        store.refusesAppends = true
        topic.publish(fingerprint, evidence(1))
        timer.advance(5.seconds)
        assertEquals(0, store.records.size)
        store.refusesAppends = false
        timer.advance(1.seconds)
        assertEquals(1, store.records.size)
    }

    @Test
    fun `a restarted node recovers all crash evidence, in any order and with repeated records`() {
        writeThree()
        val register = register()
        val topic = topic(register)
        repeat(2) { topic.onWhole(store.records.shuffled()) }
        assertTrue(register.isQuarantined(fingerprint))
    }

    @Test
    fun `old crash evidence no longer counts and is removed from the store`() {
        writeThree()
        wallClockTime += 11.minutes.inWholeMilliseconds
        val register = register()
        val topic = topic(register)
        topic.onWhole(store.records.toList())
        assertFalse(register.isBlocked(fingerprint))
        topic.dropExpired()
        assertEquals(3, store.records.size, "the quarantine at another node may still depend on them")
        wallClockTime += 1.hours.inWholeMilliseconds
        topic.dropExpired()
        assertEquals(3, store.records.count { it.value == null })
    }

    @Test
    fun `an unreadable record has no effect`() {
        val register = register()
        topic(register).onRecord(KeyedRecord("key", "{".toByteArray(), LogOffset(0)))
        assertEquals(0, register.snapshot().size)
    }

    private fun writeThree() {
        val topic = topic(register())
        (1..3).forEach { topic.publish(fingerprint, evidence(it)) }
        timer.advance(1.seconds)
    }

    private fun register() = QuarantineRegister(timer, CrashEvidenceTopic.QUARANTINE_SETTINGS)

    private fun topic(register: QuarantineRegister) = CrashEvidenceTopic(store, register, timer) { wallClockTime }

    private fun evidence(instance: Int) = CrashEvidence(UpstreamName("server-$instance"), "1")
}
