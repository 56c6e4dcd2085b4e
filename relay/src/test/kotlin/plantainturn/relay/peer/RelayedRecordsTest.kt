package plantainturn.relay.peer

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.Test
import plantainturn.connection.log.LogOffset
import plantainturn.connection.store.KeyedRecord
import plantainturn.connection.store.RecordsSince
import plantainturn.connection.store.StoreEra
import plantainturn.connection.store.StorePosition
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds

/** Records of the topic of instances in the messages between nodes. */
class RelayedRecordsTest {
    private val since =
        RecordsSince(
            StorePosition(StoreEra(2), LogOffset(7)),
            listOf(KeyedRecord("i0", null, LogOffset(8))),
            StorePosition(StoreEra(2), LogOffset(12)),
        )

    @Test
    fun `records and the peer's word on the store arrive as they were sent`() {
        val sent = RelayedRecords.of(since, 1_500.milliseconds)

        val received = Json.decodeFromString(RelayedRecords.serializer(), Json.encodeToString(sent))

        assertEquals(sent, received)
        assertEquals(sent, RelayedRecords.of(received.decode(), received.steadyFor))
        assertEquals(1_500.milliseconds, received.steadyFor)
    }

    /** A report's bytes between failure domains are billed. */
    @Test
    fun `a report has no field for records while the store answers`() {
        val message = Json.encodeToString(NodeReport.serializer(), SAMPLE_REPORT)

        assertFalse("\"instances\":{\"from\"" in message, message)
        assertFalse("storeSilent" in message, message)
        assertFalse("steady" in Json.encodeToString(RelayedRecords.of(since)))
    }

    @Test
    fun `a report of a former build is understood`() {
        val full = SAMPLE_REPORT.copy(instances = RelayedRecords.of(since, 1_500.milliseconds), storeSilent = true)
        val members = Json.encodeToJsonElement(NodeReport.serializer(), full).jsonObject
        val former = JsonObject(members - "instances" - "storeSilent")

        val received = PeerMessage.decode(former.toString().toByteArray(), NodeReport.serializer())

        assertEquals(SAMPLE_REPORT, received)
        assertNull(received?.instances)
    }
}
