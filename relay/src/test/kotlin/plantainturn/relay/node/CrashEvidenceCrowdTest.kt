package plantainturn.relay.node

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import plantainturn.connection.log.LogOffset
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
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Many engines fall silent at one moment, and 76 nodes get answers with the part that all prompts share. */
class CrashEvidenceCrowdTest {
    private val timer = VirtualTimerService()
    private val store = InMemoryRecordStore(timer)
    private val random = Random(1)
    private val part = RequestFingerprint(9)
    private val attributions = List(NODES) { CrashAttribution(timer, CrashEvidenceTopic.SETTINGS) }
    private val topics =
        attributions.map { CrashEvidenceTopic(store, it, timer, random, ::end, { NODES }) { WALL_CLOCK } }
    private var relayed = 0

    /** Guards against nodes that lag by seconds as each hears the same answer from all others. */
    @Test
    fun `few nodes write that a part was answered, and all know it`() {
        timer.subscribe(RELAY_PERIOD) { relay() }
        val breaks = List(3) { brokeAt(it) }
        attributions.forEach { node -> breaks.forEach { node.onBreak(it) } }

        repeat(NODES) { node ->
            val traits = RequestTraits(RequestFingerprint(1_000L + node), persistentListOf(part))
            val worthTelling = attributions[node].onAnswer(traits)
            assertEquals(listOf(part), worthTelling)
            topics[node].publishAnswered(worthTelling, traits)
        }
        timer.advance(10.seconds)

        assertTrue(store.records.size in 1..NODES / 4, "${store.records.size} records")
        assertTrue(attributions.none { it.hasCase(part) })
    }

    /** News reaches the nodes through the issuer, all at about the same time. */
    private fun relay() {
        val news = store.records.drop(relayed).toList()
        relayed = store.records.size
        timer.schedule(WAY) { topics.forEach { topic -> news.forEach(topic::onRecord) } }
    }

    private fun brokeAt(instance: Int) =
        RequestBreak(
            RequestTraits(RequestFingerprint(instance.toLong()), persistentListOf(part)),
            CrashEvidence(UpstreamName("server-$instance"), "1"),
            setOf(part),
            WALL_CLOCK,
        )

    private fun end() = StorePosition(StoreEra.FIRST, LogOffset(store.records.size.toLong()))

    private companion object {
        const val NODES = 76
        const val WALL_CLOCK = 1_000_000_000L
        val RELAY_PERIOD = 400.milliseconds
        val WAY = 400.milliseconds
    }
}
