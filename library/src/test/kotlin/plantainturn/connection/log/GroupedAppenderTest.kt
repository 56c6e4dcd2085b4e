package plantainturn.connection.log

import kotlinx.serialization.json.JsonPrimitive
import org.junit.jupiter.api.Test
import plantainturn.process.time.VirtualTimerService
import kotlin.test.assertEquals
import kotlin.test.assertIs

class GroupedAppenderTest {
    private val stream = StreamName("words")
    private val log = FakeLogService()
    private val timer = VirtualTimerService()
    private val appender =
        RecordAppender(log, stream, RecordIdentifiers("a"), timer, AdvancingPause(timer))
    private val grouped = GroupedAppender(appender, 1, { LogOffset.FIRST }, waitingLimit = 200)

    @Test
    fun `entries that wait go into one record and share its fate`() {
        val fates = List(100) { grouped.submit(JsonPrimitive(it)) }
        assertEquals(100, grouped.step())
        assertEquals(setOf(LogOffset(0)), fates.map { assertIs<AppendFate.Stands>(it.join()).offset }.toSet())
        assertEquals(1, log.records(stream).size)
    }

    @Test
    fun `an entry beyond the limit is refused at once`() {
        repeat(200) { grouped.submit(JsonPrimitive(it)) }
        assertIs<AppendFate.Refused>(grouped.submit(JsonPrimitive("one more")).join())
    }

    @Test
    fun `entries keep their order over several records`() {
        repeat(200) { grouped.submit(JsonPrimitive(it)) }
        while (grouped.step() > 0) Unit
        val contents = log.records(stream).map { RecordCodec.decode(it.record.payload, 1) }
        val entries = contents.flatMap { assertIs<RecordContent.Entries>(it).entries }
        assertEquals(List(200) { JsonPrimitive(it) }, entries)
    }

    @Test
    fun `an entry that was cancelled while it waited is not appended`() {
        grouped.submit(JsonPrimitive("given up")).cancel(false)
        grouped.submit(JsonPrimitive("wanted"))
        grouped.step()
        val content =
            RecordCodec.decode(
                log
                    .records(stream)
                    .single()
                    .record.payload,
                1,
            )
        assertEquals(JsonPrimitive("wanted"), assertIs<RecordContent.Entries>(content).entries.single())
    }
}
