package plantainturn.relay.node

import org.junit.jupiter.api.Test
import plantainturn.connection.log.LogOffset
import plantainturn.connection.store.KeyedRecord
import plantainturn.connection.store.StoreEra
import plantainturn.connection.store.StorePosition
import plantainturn.process.time.VirtualTimerService
import plantainturn.request.quarantine.CrashAttribution
import plantainturn.request.quarantine.CrashEvidence
import plantainturn.request.quarantine.RequestBreak
import plantainturn.request.quarantine.RequestFingerprint
import plantainturn.request.quarantine.RequestTraits
import plantainturn.version.configuration.UpstreamName
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class CrashEvidenceTopicTest {
    private val timer = VirtualTimerService()
    private val store = InMemoryRecordStore(timer)
    private val traits = RequestTraits(RequestFingerprint(7))
    private var wallClockTime = 1_000_000_000L

    @Test
    fun `crash evidence of many requests is written in one call`() {
        val topic = topic(attribution())
        (1L..64L).forEach { topic.publish(brokeAt(1, RequestTraits(RequestFingerprint(it)))) }
        timer.advance(1.seconds)
        assertEquals(64, store.records.size)
        assertEquals(1, store.appends)
    }

    @Test
    fun `crash evidence that the store refuses is written later`() {
        val topic = topic(attribution())
        store.refusesAppends = true
        topic.publish(brokeAt(1))
        timer.advance(5.seconds)
        assertEquals(0, store.records.size)
        store.refusesAppends = false
        timer.advance(1.seconds)
        assertEquals(1, store.records.size)
    }

    @Test
    fun `a restarted node recovers all crash evidence, in any order and with repeated records`() {
        writeThree()
        val attribution = attribution()
        val topic = topic(attribution)
        repeat(2) { topic.onWhole(store.records.shuffled()) }
        assertTrue(attribution.isBlocked(traits))
    }

    @Test
    fun `old crash evidence no longer counts and is removed from the store`() {
        writeThree()
        wallClockTime += 11.minutes.inWholeMilliseconds
        val attribution = attribution()
        val topic = topic(attribution)
        topic.onWhole(store.records.toList())
        assertFalse(attribution.isBlocked(traits))
        topic.dropExpired()
        assertEquals(3, store.records.size, "the quarantine at another node may still depend on them")
        wallClockTime += 1.hours.inWholeMilliseconds
        topic.dropExpired()
        assertEquals(3, store.records.count { it.value == null })
    }

    @Test
    fun `crash evidence that a restore of the store lost is written again, and what was withdrawn is not believed`() {
        val attribution = attribution()
        val topic = topic(attribution)
        (1..3).forEach { topic.publish(brokeAt(it)) }
        timer.advance(1.seconds)
        val copied = store.records.take(1)
        topic.withdraw(brokeAt(1))
        timer.advance(1.seconds)
        store.records.clear()
        store.records += copied

        topic.onRestored(store.records.toList())
        timer.advance(2.seconds)

        val newest = store.records.associateBy { it.key }.values
        assertEquals(2, newest.count { it.value != null })
        assertTrue(attribution.breaksOf(traits.request).isEmpty(), "the copy's break was withdrawn")
    }

    @Test
    fun `an unreadable record has no effect`() {
        val attribution = attribution()
        topic(attribution).onRecord(KeyedRecord("key", "{".toByteArray(), LogOffset(0)))
        assertEquals(0, attribution.blocked.size)
    }

    private fun writeThree() {
        val topic = topic(attribution())
        (1..3).forEach { topic.publish(brokeAt(it)) }
        timer.advance(1.seconds)
    }

    private fun attribution() = CrashAttribution(timer, CrashEvidenceTopic.SETTINGS)

    private fun topic(attribution: CrashAttribution) =
        CrashEvidenceTopic(store, attribution, timer, Random(1), ::end, { 1 }) { wallClockTime }

    private fun end() = StorePosition(StoreEra.FIRST, LogOffset(store.records.size.toLong()))

    private fun brokeAt(
        instance: Int,
        traits: RequestTraits = this.traits,
    ) = RequestBreak(traits, CrashEvidence(UpstreamName("server-$instance"), "1"), emptySet(), wallClockTime)
}
